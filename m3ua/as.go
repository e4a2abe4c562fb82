package m3ua

import (
	"slices"
	"time"
)

// ASState is the state of an application server at its signalling gateway (RFC 4666, 4.3.2).
type ASState uint8

// The states of an application server. ASDown covers AS-DOWN and AS-INACTIVE: no association takes its traffic.
const (
	ASDown    ASState = iota
	ASActive          // at least one association takes its traffic
	ASPending         // the last active association was lost: its traffic is queued for T(r)
)

func (s ASState) String() string { return [...]string{"down", "active", "pending"}[s] }

// AS is an application server: one peer reached over several associations, each identified by a number. It selects the
// association for a message by the traffic mode (RFC 4666, 4.3.4.3.1) and queues messages while none is active.
//
// The messages of one call stay in sequence: they follow the call's previous message as long as that association is active.
// A call's first message is assigned by its SLS, by which the user part sequences its messages. A message that was passed to
// an association before its loss is not sent again, because the sender cannot know whether it arrived.
type AS struct {
	mode         uint32        // traffic mode
	recovery     time.Duration // T(r)
	queueLimit   int           // octets
	active       []uint32      // associations
	state        ASState
	recoveryEnd  time.Duration // end of T(r), in state ASPending
	queued       [][]byte
	queuedOctets int
}

// NewAS returns an application server that has no association yet. recovery is T(r) (RFC 4666, 4.3.2): how long its traffic
// is queued after the loss of the last association. queueLimit bounds the queue in octets. An unknown mode means loadshare.
func NewAS(mode uint32, recovery time.Duration, queueLimit int) *AS {
	if mode != TrafficOverride && mode != TrafficBroadcast {
		mode = TrafficLoadshare
	}
	return &AS{mode: mode, recovery: recovery, queueLimit: queueLimit}
}

// State returns the current state.
func (s *AS) State() ASState { return s.state }

// Active reports whether an association takes traffic.
func (s *AS) Active(id uint32) bool { return slices.Contains(s.active, id) }

// Activate adds an association that takes traffic from now on. queued are the messages that waited for one, in their order;
// the caller sends them on it before any other. In override mode, replaced are the associations that no longer take
// traffic; the caller notifies them with NTFY "Alternate ASP Active".
func (s *AS) Activate(id uint32) (queued [][]byte, replaced []uint32) {
	if !s.Active(id) {
		if s.mode == TrafficOverride {
			replaced, s.active = s.active, nil
		}
		s.active = append(s.active, id)
	}
	s.state = ASActive
	queued, s.queued, s.queuedOctets = s.queued, nil, 0
	return queued, replaced
}

// Deactivate removes an association. T(r) starts when it was the last one.
func (s *AS) Deactivate(now time.Duration, id uint32) {
	i := slices.Index(s.active, id)
	if i < 0 {
		return
	}
	s.active = slices.Delete(s.active, i, i+1)
	if len(s.active) == 0 {
		s.state, s.recoveryEnd = ASPending, now+s.recovery
	}
}

// RecoveryEnd returns the time at which T(r) ends; it counts only in state ASPending.
func (s *AS) RecoveryEnd() time.Duration { return s.recoveryEnd }

// Expire reports whether T(r) has ended. If so, it drops the queued messages and the application server is down.
func (s *AS) Expire(now time.Duration) bool {
	if s.state != ASPending || now < s.recoveryEnd {
		return false
	}
	s.state, s.queued, s.queuedOctets = ASDown, nil, 0
	return true
}

// EndRecovery makes T(r) end now.
func (s *AS) EndRecovery(now time.Duration) { s.recoveryEnd = min(s.recoveryEnd, now) }

// Route appends to targets the associations that a message must be sent on. last is the association of the call's previous
// message in either direction. Nothing is appended when the message is queued. ok is false when the message is lost, because
// the application server is down or the queue is full.
func (s *AS) Route(frame []byte, sls byte, last uint32, targets []uint32) (_ []uint32, ok bool) {
	switch {
	case s.state == ASPending:
		if s.queuedOctets+len(frame) > s.queueLimit {
			return targets, false
		}
		s.queued = append(s.queued, slices.Clone(frame))
		s.queuedOctets += len(frame)
		return targets, true
	case s.state == ASDown:
		return targets, false
	case s.mode == TrafficBroadcast:
		return append(targets, s.active...), true
	case s.Active(last):
		return append(targets, last), true
	}
	return append(targets, s.active[int(sls)%len(s.active)]), true
}
