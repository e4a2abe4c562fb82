// Package numbering finds the exchange behind a called number by its longest known prefix.
package numbering

import (
	"fmt"

	"github.com/umbergauge/umbergauge/isup"
)

// Table maps prefixes of numbers to values. The zero Table is empty and ready for use. Add must not run concurrently with
// Lookup.
type Table[V any] struct {
	nodes []node[V] // a trie by digit; node 0 is the root
}

type node[V any] struct {
	child    [16]int32 // by digit; 0: none, since the root is no child
	hasValue bool
	value    V
}

// Add adds a prefix with its value. A duplicate prefix is an error. The empty prefix matches every number.
func (t *Table[V]) Add(prefix string, v V) error {
	n, err := isup.ParseNumber(0, prefix)
	if err != nil {
		return fmt.Errorf("prefix %q: %w", prefix, err)
	}
	if len(t.nodes) == 0 {
		t.nodes = make([]node[V], 1)
	}
	index := int32(0)
	for i := range n.Len() {
		d := n.Digit(i)
		if t.nodes[index].child[d] == 0 {
			t.nodes = append(t.nodes, node[V]{})
			t.nodes[index].child[d] = int32(len(t.nodes) - 1)
		}
		index = t.nodes[index].child[d]
	}
	if t.nodes[index].hasValue {
		return fmt.Errorf("duplicate prefix %q", prefix)
	}
	t.nodes[index].hasValue, t.nodes[index].value = true, v
	return nil
}

// Lookup returns the value of the longest prefix of n in the table; ok is false if there is none.
func (t *Table[V]) Lookup(n isup.Number) (v V, ok bool) {
	if len(t.nodes) == 0 {
		return v, false
	}
	index := int32(0)
	for i := 0; ; i++ {
		if x := &t.nodes[index]; x.hasValue {
			v, ok = x.value, true
		}
		if i == n.Len() {
			return v, ok
		}
		if index = t.nodes[index].child[n.Digit(i)]; index == 0 {
			return v, ok
		}
	}
}
