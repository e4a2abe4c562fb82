package m3ua

import (
	"testing"
	"time"
)

// watch plays a peer that answers heartbeats after a time until it dies, and returns how long after its death the
// association was given up; 0: it was not, or before.
func runPeer(t *testing.T, timers Timers, answerDelay, failsAt, until time.Duration) (after time.Duration, heartbeats int) {
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
		next := a.NextDeadline()
		if len(acks) > 0 && acks[0].at <= next {
			now = acks[0].at
			a.Handle(now, &acks[0].m)
			acks = acks[1:]
			continue
		}
		now = max(next, now)
		if a.Tick(now) == Failed {
			if now < failsAt {
				t.Errorf("given up at %v, while its peer answers after %v", now, answerDelay)
			}
			return now - failsAt, heartbeats
		}
		for rest := a.Out; len(rest) > 0; {
			length, _ := Length(rest)
			var m Message
			if Decode(rest[:length], &m) == nil && m.Kind == BEAT {
				heartbeats++
				if now+answerDelay < failsAt {
					acks = append(acks, ack{now + answerDelay, Message{Kind: BEATAck, Heartbeat: append([]byte(nil), m.Heartbeat...)}})
				}
			}
			rest = rest[length:]
		}
		a.Out = a.Out[:0]
	}
	return 0, heartbeats
}

// A dead peer on a quick way is found before the limit; one whose answers take seconds is not given up while it answers, and
// the limit ends both.
func TestHeartbeatTimeoutFollowsRoundTrip(t *testing.T) {
	timers := Timers{Beat: 5 * time.Second, BeatLimit: 30 * time.Second, Tries: 3}
	quick, heartbeats := runPeer(t, timers, 20*time.Millisecond, time.Minute, 10*time.Minute)
	if quick <= 3*time.Second || quick > 9*time.Second {
		t.Errorf("quick way: given up after %v", quick)
	}
	if heartbeats > 17 {
		t.Errorf("%d heartbeats in a minute of five seconds each", heartbeats)
	}
	slow, _ := runPeer(t, timers, 4*time.Second, time.Minute, 10*time.Minute)
	if slow < 10*time.Second || slow > 30*time.Second {
		t.Errorf("slow way: given up after %v", slow)
	}
	if limit, _ := runPeer(t, Timers{Beat: time.Second, BeatLimit: 2 * time.Second, Tries: 3}, 10*time.Millisecond, time.Minute, 10*time.Minute); limit > 2*time.Second {
		t.Errorf("given up after %v, beyond the limit", limit)
	}
	if after, _ := runPeer(t, timers, 20*time.Millisecond, time.Hour, 10*time.Minute); after != 0 {
		t.Error("a peer that answers is given up")
	}
}

// A stop of two seconds in the peer, with all its answers after it, does not end the association.
func TestPeerStallOfTwoSecondsKeepsAssociation(t *testing.T) {
	a := NewASP(Timers{Beat: 5 * time.Second, Tries: 3}, 1, 1, 0)
	a.Handle(0, &Message{Kind: ASPUPAck})
	a.Handle(0, &Message{Kind: ASPACAck})
	for range 20 { // a quick way
		now := a.NextDeadline()
		a.Tick(now)
		a.Handle(now+time.Millisecond, &Message{Kind: BEATAck, Heartbeat: []byte{0, 0, 0, 0, 0, 0, 0, byte(a.beatCount)}})
	}
	now := a.NextDeadline()
	for stallEnd := now + 2*time.Second; now < stallEnd; now = a.NextDeadline() {
		if a.Tick(now) == Failed {
			t.Fatalf("given up %v into the stop", now-(stallEnd-2*time.Second))
		}
	}
	if a.RoundTrip() != time.Millisecond {
		t.Errorf("round trip %v", a.RoundTrip())
	}
}
