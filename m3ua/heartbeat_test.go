package m3ua

import (
	"testing"
	"time"
)

// runPeer emulates a peer that acknowledges each heartbeat after answerDelay until it fails at failsAt. It returns how long
// after that the association failed (0: it did not fail by until) and the number of heartbeats sent.
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
				t.Errorf("association failed at %v although its peer acknowledges after %v", now, answerDelay)
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

// TestHeartbeatTimeoutFollowsRoundTrip guards against a time-out that does not fit the path: a failed peer that is found only
// after BeatLimit although its round trips are short, or a peer with round trips of seconds that fails although it answers.
func TestHeartbeatTimeoutFollowsRoundTrip(t *testing.T) {
	timers := Timers{Beat: 5 * time.Second, BeatLimit: 30 * time.Second, Tries: 3}
	quick, heartbeats := runPeer(t, timers, 20*time.Millisecond, time.Minute, 10*time.Minute)
	if quick <= 3*time.Second || quick > 9*time.Second {
		t.Errorf("short round trip: association failed after %v, want more than 3 s and at most 9 s", quick)
	}
	if heartbeats > 17 {
		t.Errorf("%d heartbeats until the failure, want at most 17 at an interval of 5 s", heartbeats)
	}
	slow, _ := runPeer(t, timers, 4*time.Second, time.Minute, 10*time.Minute)
	if slow < 10*time.Second || slow > 30*time.Second {
		t.Errorf("long round trip: association failed after %v, want 10 s to 30 s", slow)
	}
	if limit, _ := runPeer(t, Timers{Beat: time.Second, BeatLimit: 2 * time.Second, Tries: 3}, 10*time.Millisecond, time.Minute, 10*time.Minute); limit > 2*time.Second {
		t.Errorf("association failed after %v, want at most the beat limit of 2 s", limit)
	}
	if after, _ := runPeer(t, timers, 20*time.Millisecond, time.Hour, 10*time.Minute); after != 0 {
		t.Error("association failed although its peer acknowledges every heartbeat")
	}
}

// TestPeerStallOfTwoSecondsKeepsAssociation guards against a heartbeat time-out so short, after short round trips, that a pause
// of 2 s in the peer's process ends the association.
func TestPeerStallOfTwoSecondsKeepsAssociation(t *testing.T) {
	a := NewASP(Timers{Beat: 5 * time.Second, Tries: 3}, 1, 1, 0)
	a.Handle(0, &Message{Kind: ASPUPAck})
	a.Handle(0, &Message{Kind: ASPACAck})
	for range 20 { // round trips of 1 ms
		now := a.NextDeadline()
		a.Tick(now)
		a.Handle(now+time.Millisecond, &Message{Kind: BEATAck, Heartbeat: []byte{0, 0, 0, 0, 0, 0, 0, byte(a.beatCount)}})
	}
	now := a.NextDeadline()
	for stallEnd := now + 2*time.Second; now < stallEnd; now = a.NextDeadline() {
		if a.Tick(now) == Failed {
			t.Fatalf("association failed %v after the peer stalled", now-(stallEnd-2*time.Second))
		}
	}
	if a.RoundTrip() != time.Millisecond {
		t.Errorf("round trip %v, want 1 ms", a.RoundTrip())
	}
}
