package m3ua

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestASRoutesByTrafficMode guards against messages sent on the wrong associations for the traffic mode, and against a
// replaced association in a mode other than override.
func TestASRoutesByTrafficMode(t *testing.T) {
	frame := []byte("frame")
	for mode, want := range map[uint32]string{
		TrafficOverride:  "[2] [2] [2]",
		TrafficLoadshare: "[1] [1] [2]", // by the previous association, by SLS 0 and by SLS 1
		TrafficBroadcast: "[1 2] [1 2] [1 2]",
	} {
		s := NewAS(mode, time.Second, 100)
		s.Activate(1)
		_, replaced := s.Activate(2)
		if got := slices.Equal(replaced, []uint32{1}); got != (mode == TrafficOverride) {
			t.Errorf("mode %d: replaced %v", mode, replaced)
		}
		var got [3][]uint32
		got[0], _ = s.Route(frame, 1, 1, nil)
		got[1], _ = s.Route(frame, 0, 9, nil)
		got[2], _ = s.Route(frame, 1, 9, nil)
		if routes := fmt.Sprint(got[0], got[1], got[2]); routes != want {
			t.Errorf("mode %d: %s, want %s", mode, routes, want)
		}
	}
}

// TestPendingASQueuesUpToLimitUntilRecoveryEnds guards against messages that are lost or reordered while the application
// server is pending, a queue beyond its limit, and messages that are still sent after the end of T(r).
func TestPendingASQueuesUpToLimitUntilRecoveryEnds(t *testing.T) {
	s := NewAS(TrafficLoadshare, 2*time.Second, 10)
	if _, ok := s.Route([]byte("x"), 0, 0, nil); ok {
		t.Error("a message was accepted although no association was ever active")
	}
	s.Activate(1)
	s.Deactivate(time.Second, 1)
	for i, want := range []bool{true, true, false} { // messages of 4 octets, a queue limit of 10
		if to, ok := s.Route(fmt.Appendf(nil, "m%03d", i), 0, 1, nil); ok != want || len(to) > 0 {
			t.Errorf("message %d: %v %v", i, to, ok)
		}
	}
	if s.Expire(2999*time.Millisecond) || s.State() != ASPending {
		t.Error("T(r) ended before 2 s")
	}
	queued, _ := s.Activate(7)
	if len(queued) != 2 || string(queued[0]) != "m000" || string(queued[1]) != "m001" || s.Expire(time.Hour) {
		t.Errorf("queued messages %q, want m000 and m001", queued)
	}
	s.Deactivate(10*time.Second, 7)
	s.Route([]byte("late"), 0, 7, nil)
	if !s.Expire(12*time.Second) || s.State() != ASDown {
		t.Error("T(r) has not ended after 2 s")
	}
	if queued, _ := s.Activate(8); len(queued) > 0 {
		t.Errorf("%q still queued after the end of T(r)", queued)
	}
}

// TestASKeepsCallsInSequence activates and deactivates associations in random order. It guards against messages that are sent
// twice or out of order, calls that move although their association is active, and a queue that exceeds its limit.
func TestASKeepsCallsInSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mode := rapid.SampledFrom([]uint32{TrafficOverride, TrafficLoadshare}).Draw(t, "mode")
		s := NewAS(mode, time.Second, 40)
		active, now := map[uint32]bool{}, time.Duration(0)
		last, next := map[byte]uint32{}, map[byte]int{}
		sent := map[byte][]int{}
		deliver := func(id uint32, frame []byte) {
			if !active[id] {
				t.Fatalf("message sent on association %d, which is not active", id)
			}
			sent[frame[0]] = append(sent[frame[0]], int(frame[1]))
			last[frame[0]] = id
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := uint32(rapid.IntRange(1, 3).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				queued, replaced := s.Activate(id)
				active[id] = true
				for _, r := range replaced {
					delete(active, r)
				}
				for _, frame := range queued {
					deliver(id, frame)
				}
			case 1:
				s.Deactivate(now, id)
				delete(active, id)
			case 2:
				now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
				s.Expire(now)
			default:
				call := byte(rapid.IntRange(0, 3).Draw(t, "call"))
				frame := []byte{call, byte(next[call])}
				next[call]++
				previous := last[call]
				to, ok := s.Route(frame, call, previous, nil)
				if ok == (s.State() == ASDown) && s.State() != ASPending {
					t.Fatalf("ok %v in state %v", ok, s.State())
				}
				if active[previous] && (len(to) != 1 || to[0] != previous) {
					t.Fatalf("call moved from association %d, which is still active, to %v", previous, to)
				}
				for _, id := range to {
					deliver(id, frame)
				}
			}
			if s.queuedOctets > 40 {
				t.Fatalf("%d octets queued, limit 40", s.queuedOctets)
			}
		}
		for call, numbers := range sent {
			if !slices.IsSorted(numbers) || len(slices.Compact(slices.Clone(numbers))) != len(numbers) {
				t.Fatalf("call %d: messages out of order or sent twice: %v", call, numbers)
			}
		}
	})
}
