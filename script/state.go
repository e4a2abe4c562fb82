package script

import (
	"container/heap"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a program keeps between calls: its variables, rates, tops and counters, each of a bounded size. It is safe
// for concurrent use.
type State struct {
	vars     atomic.Pointer[varSet]
	mu       sync.Mutex // of writers of vars
	rates    []*Rates
	tops     []*Top
	counters []*atomic.Int64
}

// varSet is the variables at one instant; it does not change.
type varSet struct {
	n []int64
	s []string
}

// with is the set with one change.
func (v *varSet) withWrite(c varWrite) *varSet {
	w := &varSet{slices.Clone(v.n), slices.Clone(v.s)}
	w.n[c.slot], w.s[c.slot] = c.n, c.s
	return w
}

// NewState makes the state of a program, with its first values. With from, the state of an earlier version, what is
// declared alike goes on: rates, tops and counters of the same name and size, and variables of the same name and kind.
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

// Vars are the variables by name, as text, for operators.
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

// Rates counts events by key over a sliding window, for a bounded number of keys: a table of sets of eight entries, where a
// new key takes the place of the slowest of its set. A key's count over the last window is that of the window under way and, in
// proportion to what is left of it, of the one before, so an entry is 24 octets whatever the rate.
type Rates struct {
	window time.Duration
	mu     sync.Mutex
	sets   [][ways]rateEntry
	mask   uint64
}

const ways = 8

type rateEntry struct {
	hash      uint64
	epoch     uint32
	now, last uint32
}

// NewRates makes a Rates for at least the given number of keys.
func NewRates(window time.Duration, keys int) *Rates {
	n := 1
	for n*ways < keys {
		n *= 2
	}
	return &Rates{window: max(window, time.Millisecond), sets: make([][ways]rateEntry, n), mask: uint64(n - 1)}
}

// roll brings an entry to an epoch.
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

// Top counts keys and keeps the most frequent: Space-Saving (Metwally, Agrawal and El Abbadi, 2005). A kept key's count is
// never too low, and too high by the whole count divided by the size at the most.
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

// NewTop makes a Top of a number of keys.
func NewTop(keys int) *Top { return &Top{size: keys, entries: make(map[string]*topEntry, keys)} }

// maxKey bounds a key in octets; longer ones are counted by their beginning.
const maxKeyOctets = 64

// Add counts one for a key.
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

// Count is the count of a key, 0 if it is not kept.
func (t *Top) Count(key string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e.count
	}
	return 0
}

// Most are the n keys counted most, the most first; equal ones by key.
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
