package fairqueue

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
)

// order runs units of work of several flows through a gate of capacity 1, all waiting at the same time, and returns in which order their
// flows were admitted. The flow before has had ten units of 10 by then.
func order(t *testing.T, before *Flow, units func(enter func(name string, f *Flow, cost int))) (names []string) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(1)
		for range 10 {
			g.Enter(t.Context(), before, 10)
			g.Leave()
		}
		g.Enter(t.Context(), &Flow{}, 0)
		admitted := make(chan string)
		units(func(name string, f *Flow, cost int) {
			go func() {
				if g.Enter(t.Context(), f, cost) {
					admitted <- name
				}
			}()
			synctest.Wait()
		})
		for {
			g.Leave()
			synctest.Wait()
			select {
			case name := <-admitted:
				names = append(names, name)
				continue
			default:
			}
			return
		}
	})
	return names
}

// A flow that asks for little is admitted before the next unit of one that has had much, however many units that one has waiting.
func TestSmallFlowIsAdmittedBeforeLargeOne(t *testing.T) {
	got := order(t, &Flow{}, func(enter func(string, *Flow, int)) {
		var large, small Flow
		for range 3 {
			enter("large", &large, 15000)
		}
		enter("small", &small, 200)
		enter("small", &small, 200)
	})
	if want := []string{"large", "small", "small", "large", "large"}; !slices.Equal(got, want) {
		t.Fatalf("admitted %v, want %v", got, want)
	}
}

// Flows of equal units take turns.
func TestEqualFlowsTakeTurns(t *testing.T) {
	got := order(t, &Flow{}, func(enter func(string, *Flow, int)) {
		var a, b Flow
		enter("a", &a, 10)
		enter("a", &a, 10)
		enter("a", &a, 10)
		enter("b", &b, 10)
		enter("b", &b, 10)
	})
	if want := []string{"a", "b", "a", "b", "a"}; !slices.Equal(got, want) {
		t.Fatalf("admitted %v, want %v", got, want)
	}
}

// A flow that has been idle gains no credit for that time: it is not admitted for all of it at once.
func TestIdleFlowGainsNoCredit(t *testing.T) {
	var busy, idle Flow
	got := order(t, &busy, func(enter func(string, *Flow, int)) {
		for range 3 {
			enter("idle", &idle, 10)
		}
		enter("busy", &busy, 10)
	})
	if want := []string{"idle", "idle", "busy", "idle"}; !slices.Equal(got, want) {
		t.Fatalf("admitted %v, want %v", got, want)
	}
}

// A waiter whose context ends leaves its place to the others, and no unit is lost or admitted twice.
func TestCancelledWaiterLeavesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(1)
		g.Enter(t.Context(), &Flow{}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan bool, 2)
		go func() { results <- g.Enter(ctx, &Flow{}, 1) }()
		synctest.Wait()
		go func() { results <- g.Enter(t.Context(), &Flow{}, 1) }()
		synctest.Wait()
		cancel()
		if <-results {
			t.Fatal("a waiter was admitted although its context has ended")
		}
		g.Leave()
		if !<-results {
			t.Fatal("the other waiter was not admitted")
		}
		g.Leave()
		if g.free != 1 || len(g.waiting) != 0 {
			t.Fatalf("%d free, %d waiting, want 1 and 0", g.free, len(g.waiting))
		}
	})
}
