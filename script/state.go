package script

import (
	"container/heap"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State holds what a program keeps between runs: its variables, rates, tops and counters, each of bounded size. It is safe for
// concurrent use.
type State struct {
	vars     atomic.Pointer[varSet]
	mu       sync.Mutex // held by writers of vars; readers load the pointer without it
	rates    []*Rates
	tops     []*Top
	counters []*atomic.Int64
}

// varSet is an immutable snapshot of the variables.
type varSet struct {
	n []int64
	s []string
}

// withWrite returns a copy of the set with one variable changed.
func (v *varSet) withWrite(c varWrite) *varSet {
	w := &varSet{slices.Clone(v.n), slices.Clone(v.s)}
	w.n[c.slot], w.s[c.slot] = c.n, c.s
	return w
}

// NewState returns the initial state of a program. If oldState and oldProgram, an earlier version, are not nil, equal declarations
// keep their state: rates, tops and counters of the same name and parameters, and variables of the same name and register bank.
func (p *Program) NewState(oldState *State, oldProgram *Program) *State {
	state := &State{}
	values := &varSet{slices.Clone(p.varN), slices.Clone(p.varR)}
	if oldState != nil && oldProgram != nil {
		oldVars := oldState.vars.Load()
		for i, name := range p.varNames {
			if j := slices.Index(oldProgram.varNames, name); j >= 0 && oldProgram.varIsRef[j] == p.varIsRef[i] {
				values.n[i], values.s[i] = oldVars.n[j], oldVars.s[j]
			}
		}
	}
	state.vars.Store(values)
	for _, d := range p.states {
		state.rates, state.tops, state.counters = append(state.rates, nil), append(state.tops, nil), append(state.counters, nil)
		i := len(state.rates) - 1
		j := -1
		if oldState != nil && oldProgram != nil {
			j = slices.IndexFunc(oldProgram.states, func(e *stateDecl) bool {
				return e.name == d.name && e.keyword == d.keyword && e.keys == d.keys && e.window == d.window
			})
		}
		switch {
		case j >= 0:
			state.rates[i], state.tops[i], state.counters[i] = oldState.rates[j], oldState.tops[j], oldState.counters[j]
		case d.keyword == "rate":
			state.rates[i] = NewRates(d.window, d.keys)
		case d.keyword == "top":
			state.tops[i] = NewTop(d.keys)
		default:
			state.counters[i] = &atomic.Int64{}
		}
	}
	return state
}

// commitVars applies the assignments of a successful run.
func (st *State) commitVars(_ *Program, changes []varWrite) {
	st.mu.Lock()
	defer st.mu.Unlock()
	v := st.vars.Load()
	w := &varSet{slices.Clone(v.n), slices.Clone(v.s)}
	for _, c := range changes {
		w.n[c.slot], w.s[c.slot] = c.n, c.s
	}
	st.vars.Store(w)
}

// Vars returns the values of the variables by name: strings, and all other types as int64 bits.
func (p *Program) Vars(state *State) map[string]any {
	out := map[string]any{}
	values := state.vars.Load()
	for i, name := range p.varNames {
		if p.varIsRef[i] {
			out[name] = values.s[i]
		} else {
			out[name] = values.n[i]
		}
	}
	return out
}

// Rates counts events by key over a sliding window, for a bounded number of keys. It is a set-associative table: a new key
// replaces the least frequent of the eight entries of its set. A key's count over the sliding window is the count of the current
// fixed window plus that of the previous one, weighted by the part of the current one that is left. An entry takes 24 octets.
type Rates struct {
	window time.Duration
	mu     sync.Mutex
	sets   [][ways]rateEntry
	mask   uint64
}

// ways is the number of entries in a set of Rates.
const ways = 8

type rateEntry struct {
	hash      uint64
	epoch     uint32 // number of the current window
	now, last uint32 // events in the current and the previous window
}

// NewRates returns a Rates with room for at least the given number of keys.
func NewRates(window time.Duration, keys int) *Rates {
	n := 1
	for n*ways < keys {
		n *= 2
	}
	return &Rates{window: max(window, time.Millisecond), sets: make([][ways]rateEntry, n), mask: uint64(n - 1)}
}

// advance moves an entry to the window of an epoch.
func (e *rateEntry) advance(epoch uint32) {
	switch epoch - e.epoch {
	case 0:
		return
	case 1:
		e.last, e.now = e.now, 0
	default:
		e.last, e.now = 0, 0
	}
	e.epoch = epoch
}

func (t *Rates) add(key string, now time.Duration) {
	h := xxhash.Sum64String(key) | 1 // 0 marks an empty entry
	epoch := uint32(now / t.window)
	t.mu.Lock()
	defer t.mu.Unlock()
	set := &t.sets[h>>8&t.mask]
	victim := &set[0]
	for i := range set {
		e := &set[i]
		if e.hash == h {
			e.advance(epoch)
			if e.now < 1<<32-1 {
				e.now++
			}
			return
		}
		if e.hash == 0 {
			if victim.hash != 0 {
				victim = e
			}
			continue
		}
		e.advance(epoch)
		if victim.hash != 0 && e.now+e.last < victim.now+victim.last {
			victim = e
		}
	}
	*victim = rateEntry{hash: h, epoch: epoch, now: 1}
}

func (t *Rates) perSecond(key string, now time.Duration) float64 {
	h := xxhash.Sum64String(key) | 1
	epoch := uint32(now / t.window)
	t.mu.Lock()
	defer t.mu.Unlock()
	set := &t.sets[h>>8&t.mask]
	for i := range set {
		if e := &set[i]; e.hash == h {
			e.advance(epoch)
			elapsed := float64(now%t.window) / float64(t.window)
			return (float64(e.now) + float64(e.last)*(1-elapsed)) / t.window.Seconds()
		}
	}
	return 0
}

// Top keeps the most frequent keys with their counts by the Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005). The
// count of a kept key is never too low, and too high by at most the number of all events divided by the number of kept keys.
type Top struct {
	mu      sync.Mutex
	size    int
	entries map[string]*topEntry
	heap    topHeap
}

type topEntry struct {
	key       string
	count     int64
	heapIndex int
}

type topHeap []*topEntry

func (h topHeap) Len() int           { return len(h) }
func (h topHeap) Less(a, b int) bool { return h[a].count < h[b].count }
func (h topHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a]; h[a].heapIndex, h[b].heapIndex = a, b }
func (h *topHeap) Push(x any)        { e := x.(*topEntry); e.heapIndex = len(*h); *h = append(*h, e) }
func (h *topHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// NewTop returns a Top that keeps up to the given number of keys.
func NewTop(keys int) *Top { return &Top{size: keys, entries: make(map[string]*topEntry, keys)} }

// maxKeyOctets limits the length of a key; longer keys are cut to it.
const maxKeyOctets = 64

// Add adds one to the count of a key.
func (t *Top) Add(key string) {
	if len(key) > maxKeyOctets {
		key = key[:maxKeyOctets]
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		e.count++
		heap.Fix(&t.heap, e.heapIndex)
		return
	}
	if len(t.heap) < t.size {
		e := &topEntry{key: key, count: 1}
		t.entries[key] = e
		heap.Push(&t.heap, e)
		return
	}
	e := t.heap[0]
	delete(t.entries, e.key)
	e.key = key
	e.count++
	t.entries[key] = e
	heap.Fix(&t.heap, 0)
}

// Count returns the count of a key, 0 if it is not kept.
func (t *Top) Count(key string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e.count
	}
	return 0
}

// Most returns the n most frequent keys in descending order of their counts; keys with equal counts in ascending order.
func (t *Top) Most(n int) []string {
	t.mu.Lock()
	sorted := make([]topEntry, len(t.heap))
	for i, e := range t.heap {
		sorted[i] = *e
	}
	t.mu.Unlock()
	slices.SortFunc(sorted, func(a, b topEntry) int {
		if a.count != b.count {
			return int(b.count - a.count)
		}
		if a.key < b.key {
			return -1
		}
		return 1
	})
	var out []string
	for _, e := range sorted[:min(n, len(sorted))] {
		out = append(out, e.key)
	}
	return out
}
