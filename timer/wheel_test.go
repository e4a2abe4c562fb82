package timer

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes every run check the same cases. For others: go test -args -rapid.seed=N -rapid.checks=N.
func init() { flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

// Compares the wheel with a plain map of timers: the same timers fire, none early, none later than a tick, in order of time.
func TestWheelAgreesWithReferenceMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at time.Duration
			h  Handle
		}
		now := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "start"))
		w := New[int](now, ms)
		pending := map[int]entry{}
		id := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				span := rapid.SampledFrom([]time.Duration{0, ms, 300 * ms, 70 * time.Second, 20 * time.Hour, 2000 * time.Hour}).Draw(t, "span")
				at := now + time.Duration(rapid.Int64Range(0, int64(span)).Draw(t, "after"))
				id++
				pending[id] = entry{at, w.Set(at, id)}
			case 2:
				for k, e := range pending {
					if !w.Stop(e.h) || w.Stop(e.h) {
						t.Fatal("Stop must return true for a set timer and then false")
					}
					delete(pending, k)
					break
				}
			case 3:
				step := rapid.SampledFrom([]time.Duration{0, ms / 3, ms, 255 * ms, 256 * ms, 66 * time.Second, 19 * time.Hour, 1500 * time.Hour}).Draw(t, "step")
				if next, ok := w.Next(); ok != (len(pending) > 0) {
					t.Fatalf("Next returned ok=%v with %d timers set", ok, len(pending))
				} else if ok {
					for _, e := range pending {
						if next > max(e.at, now)+2*ms {
							t.Fatalf("Next returned %v, later than a timer at %v", next, e.at)
						}
					}
				}
				now += step
				last := time.Duration(0)
				w.Advance(now, func(k int) {
					e, ok := pending[k]
					if !ok || e.at > now {
						t.Fatalf("timer %d, set for %v, fired at %v; timer known: %v", k, e.at, now, ok)
					}
					if e.at < last-ms {
						t.Fatalf("timer set for %v fired after one set for %v", e.at, last)
					}
					last = max(last, e.at)
					delete(pending, k)
				})
				for k, e := range pending {
					if e.at <= now-2*ms {
						t.Fatalf("timer %d, set for %v, has not fired at %v", k, e.at, now)
					}
				}
			}
			if w.Len() != len(pending) {
				t.Fatalf("Len returned %d, want %d", w.Len(), len(pending))
			}
		}
	})
}

// A timer set from fire for a past time fires in the same Advance, before later timers.
func TestTimerSetWhileFiringFiresAtNextTick(t *testing.T) {
	w := New[int](0, ms)
	var fired []int
	w.Set(ms, 1)
	w.Set(5*ms, 2)
	w.Advance(10*ms, func(k int) {
		if fired = append(fired, k); k == 1 {
			w.Set(0, 3) // a past time: fires at the next tick
		}
	})
	if !slices.Equal(fired, []int{1, 3, 2}) {
		t.Errorf("fired %v, want [1 3 2]", fired)
	}
}

// Guards against a handle of a fired timer that stops another timer which has been given the same node.
func TestStopIgnoresHandleOfFiredTimer(t *testing.T) {
	w := New[int](0, ms)
	h := w.Set(ms, 1)
	w.Advance(2*ms, func(int) {})
	w.Set(time.Second, 2)
	if w.Stop(h) || w.Stop(Handle{}) || w.Len() != 1 {
		t.Error("a stale handle stopped another timer")
	}
}

type heapTimer struct {
	at time.Duration
	id int
	i  int // index in the heap
}
type timerHeap []*heapTimer

func (q timerHeap) Len() int           { return len(q) }
func (q timerHeap) Less(a, b int) bool { return q[a].at < q[b].at }
func (q timerHeap) Swap(a, b int)      { q[a], q[b] = q[b], q[a]; q[a].i, q[b].i = a, b }
func (q *timerHeap) Push(x any)        { x.(*heapTimer).i = len(*q); *q = append(*q, x.(*heapTimer)) }
func (q *timerHeap) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// Measures one Set and one Stop among n timers, in comparison with container/heap, since most timers of a call are stopped
// before they fire.
func BenchmarkSetStop(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		after := func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(10 * time.Second))) }
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			w, r := New[int](0, ms), rand.New(rand.NewPCG(1, 2))
			handles := make([]Handle, n)
			for i := range handles {
				handles[i] = w.Set(after(r), i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w.Stop(handles[i%n])
				handles[i%n] = w.Set(after(r), i)
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			var q timerHeap
			timers := make([]*heapTimer, n)
			for i := range timers {
				timers[i] = &heapTimer{at: after(r), id: i}
				heap.Push(&q, timers[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				heap.Remove(&q, timers[i%n].i)
				timers[i%n] = &heapTimer{at: after(r), id: i}
				heap.Push(&q, timers[i%n])
			}
		})
	}
}
