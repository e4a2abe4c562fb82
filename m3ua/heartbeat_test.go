package m3ua

import (
	"testing"
	"time"
)

// watch plays a peer that answers heartbeats after a time until it dies, and returns how long after its death the
// association was given up; 0: it was not, or before.
func watch(t *testing.T, timers Timers, answer, dies, until time.Duration) (after time.Duration, beats int) {
	t.Helper()
	type ack struct {
		at time.Duration
		m  Message
	}
	a := NewASP(timers, 1, 1, 0)
	a.Handle(0, &Message{Kind: ASPUPAck})
	a.Handle(0, &Message{Kind: ASPACAck})
	a.Out = nil
	var acks []ack
	for now := time.Duration(0); now < until; {
		next := a.Next()
		if len(acks) > 0 && acks[0].at <= next {
			now = acks[0].at
			a.Handle(now, &acks[0].m)
			acks = acks[1:]
			continue
		}
		now = max(next, now)
		if a.Tick(now) == Broken {
			if now < dies {
				t.Errorf("given up at %v, while its peer answers after %v", now, answer)
			}
			return now - dies, beats
		}
		for b := a.Out; len(b) > 0; {
			n, _ := Length(b)
			var m Message
			if Decode(b[:n], &m) == nil && m.Kind == BEAT {
				beats++
				if now+answer < dies {
					acks = append(acks, ack{now + answer, Message{Kind: BEATAck, Heartbeat: append([]byte(nil), m.Heartbeat...)}})
				}
			}
			b = b[n:]
		}
		a.Out = a.Out[:0]
	}
	return 0, beats
}

// A dead peer on a quick way is found before the limit; one whose answers take seconds is not given up while it answers, and
// the limit ends both.
func TestHeartbeatsAdapt(t *testing.T) {
	timers := Timers{Beat: 5 * time.Second, BeatLimit: 30 * time.Second, Tries: 3}
	quick, n := watch(t, timers, 20*time.Millisecond, time.Minute, 10*time.Minute)
	if quick <= 3*time.Second || quick > 9*time.Second {
		t.Errorf("quick way: given up after %v", quick)
	}
	if n > 17 {
		t.Errorf("%d heartbeats in a minute of five seconds each", n)
	}
	slow, _ := watch(t, timers, 4*time.Second, time.Minute, 10*time.Minute)
	if slow < 10*time.Second || slow > 30*time.Second {
		t.Errorf("slow way: given up after %v", slow)
	}
	if limit, _ := watch(t, Timers{Beat: time.Second, BeatLimit: 2 * time.Second, Tries: 3}, 10*time.Millisecond, time.Minute, 10*time.Minute); limit > 2*time.Second {
		t.Errorf("given up after %v, beyond the limit", limit)
	}
	if after, _ := watch(t, timers, 20*time.Millisecond, time.Hour, 10*time.Minute); after != 0 {
		t.Error("a peer that answers is given up")
	}
}

// A stop of two seconds in the peer, with all its answers after it, does not end the association.
func TestHeartbeatsOutliveAStop(t *testing.T) {
	a := NewASP(Timers{Beat: 5 * time.Second, Tries: 3}, 1, 1, 0)
	a.Handle(0, &Message{Kind: ASPUPAck})
	a.Handle(0, &Message{Kind: ASPACAck})
	for range 20 { // a quick way
		now := a.Next()
		a.Tick(now)
		a.Handle(now+time.Millisecond, &Message{Kind: BEATAck, Heartbeat: []byte{0, 0, 0, 0, 0, 0, 0, byte(a.beats)}})
	}
	now := a.Next()
	for stop := now + 2*time.Second; now < stop; now = a.Next() {
		if a.Tick(now) == Broken {
			t.Fatalf("given up %v into the stop", now-(stop-2*time.Second))
		}
	}
	if a.RoundTrip() != time.Millisecond {
		t.Errorf("round trip %v", a.RoundTrip())
	}
}
