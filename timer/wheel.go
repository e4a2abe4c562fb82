// Package timer implements a hierarchical timer wheel (Varghese and Lauck, 1987) for programs that pass in the current time
// instead of reading a clock. Setting and stopping a timer takes constant time, and nothing is allocated once the slab of
// nodes has grown to the greatest number of timers set at the same time.
package timer

import (
	"math/bits"
	"time"
)

const (
	levels   = 4
	slotBits = 8
	slots    = 1 << slotBits
	mask     = slots - 1
)

// Handle identifies a set timer. The zero Handle identifies none.
type Handle struct {
	index int32 // in the slab, from 1
	gen   uint32
}

// Wheel holds timers with a payload each. The time of a timer is rounded up to a whole tick, and the timer fires in the
// first Advance to that tick or beyond. A Wheel is not safe for concurrent use.
type Wheel[T any] struct {
	tick     time.Duration
	current  uint64    // the last tick that has been handled
	n        int       // number of timers set
	nodes    []node[T] // the slab; index 0 is not used, since links use 0 for none
	freeList int32     // first free node
	heads    [levels][slots]int32
	tails    [levels][slots]int32
	occupied [levels][slots / 64]uint64 // one bit for each slot: 1 means that it holds timers
}

type node[T any] struct {
	due        uint64 // tick at which the timer fires
	next, prev int32  // in the slot's list or the free list; 0: none
	gen        uint32 // counts the uses of the node, so that stale handles are recognised
	level      int8   // -1: the node is free
	slot       uint8
	payload    T
}

// New returns a wheel that starts at now and has a resolution of tick.
func New[T any](now, tick time.Duration) *Wheel[T] {
	return &Wheel[T]{tick: tick, current: uint64(now / tick), nodes: make([]node[T], 1)}
}

// Len returns the number of timers set.
func (w *Wheel[T]) Len() int { return w.n }

// Set sets a timer that fires at the given time, or at the next tick if that time is past.
func (w *Wheel[T]) Set(at time.Duration, payload T) Handle {
	i := w.freeList
	if i == 0 {
		i = int32(len(w.nodes))
		w.nodes = append(w.nodes, node[T]{})
	} else {
		w.freeList = w.nodes[i].next
	}
	n := &w.nodes[i]
	n.gen++
	n.payload = payload
	n.due = max(uint64((at+w.tick-1)/w.tick), w.current+1)
	w.place(i)
	w.n++
	return Handle{i, n.gen}
}

// Stop removes a timer and reports whether it was still set.
func (w *Wheel[T]) Stop(h Handle) bool {
	if h.index == 0 || w.nodes[h.index].gen != h.gen || w.nodes[h.index].level < 0 {
		return false
	}
	w.unlink(h.index)
	w.release(h.index)
	return true
}

func (w *Wheel[T]) release(i int32) {
	n := &w.nodes[i]
	var zero T
	n.payload, n.level, n.next = zero, -1, w.freeList
	w.freeList = i
	w.n--
}

// place puts a node into the slot of its due tick, relative to the current tick.
func (w *Wheel[T]) place(i int32) {
	n := &w.nodes[i]
	delta, level := n.due-w.current, 0
	for level < levels-1 && delta >= 1<<(slotBits*(level+1)) {
		level++
	}
	if top := uint64(1)<<(slotBits*levels) - 1; delta > top { // beyond the range of the wheel: placed again within it
		delta = top
	}
	s := (w.current + delta) >> (slotBits * level) & mask
	n.level, n.slot, n.next, n.prev = int8(level), uint8(s), 0, w.tails[level][s]
	if n.prev != 0 {
		w.nodes[n.prev].next = i
	} else {
		w.heads[level][s] = i
		w.occupied[level][s/64] |= 1 << (s % 64)
	}
	w.tails[level][s] = i
}

func (w *Wheel[T]) unlink(i int32) {
	n := &w.nodes[i]
	if n.prev != 0 {
		w.nodes[n.prev].next = n.next
	} else {
		w.heads[n.level][n.slot] = n.next
	}
	if n.next != 0 {
		w.nodes[n.next].prev = n.prev
	} else {
		w.tails[n.level][n.slot] = n.prev
	}
	if w.heads[n.level][n.slot] == 0 {
		w.occupied[n.level][n.slot/64] &^= 1 << (n.slot % 64)
	}
}

// distance returns the distance, 1 to slots, from slot s to the next occupied slot of a level; 0: there is none.
func (w *Wheel[T]) distance(level int, s uint64) uint64 {
	for d := uint64(1); d <= slots; {
		at := (s + d) & mask
		word := w.occupied[level][at/64] >> (at % 64)
		if word != 0 {
			return min(d+uint64(bits.TrailingZeros64(word)), slots)
		}
		d += 64 - at%64
	}
	return 0
}

// next returns the first tick with work to do: timers to fire, or a slot whose timers move to lower levels.
func (w *Wheel[T]) next() (tick uint64, ok bool) {
	for level := range levels {
		at := w.current >> (slotBits * level)
		if d := w.distance(level, at&mask); d > 0 {
			if t := (at + d) << (slotBits * level); !ok || t < tick {
				tick, ok = t, true
			}
		}
	}
	return tick, ok
}

// Next returns a time before which no timer fires; ok is false if no timer is set.
func (w *Wheel[T]) Next() (at time.Duration, ok bool) {
	t, ok := w.next()
	return time.Duration(t) * w.tick, ok
}

// Advance fires every timer that is due at now, in the order of their ticks. fire may set and stop timers.
func (w *Wheel[T]) Advance(now time.Duration, fire func(T)) {
	target := uint64(now / w.tick)
	for w.current < target {
		t, ok := w.next()
		if !ok || t > target {
			w.current = target
			return
		}
		w.current = t
		for level := levels - 1; level > 0; level-- {
			if t&(1<<(slotBits*level)-1) != 0 {
				continue
			}
			s := t >> (slotBits * level) & mask
			for i := w.heads[level][s]; i != 0; i = w.heads[level][s] {
				w.unlink(i)
				w.place(i)
				if w.nodes[i].level == int8(level) && uint64(w.nodes[i].slot) == s { // due a full turn later or more, back in the same slot
					break
				}
			}
		}
		for s := t & mask; w.heads[0][s] != 0; {
			i := w.heads[0][s]
			payload := w.nodes[i].payload
			w.unlink(i)
			w.release(i)
			fire(payload)
		}
	}
}
