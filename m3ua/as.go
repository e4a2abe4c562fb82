package m3ua

import (
	"slices"
	"time"
)

// ASState is the state of an application server as its signalling gateway sees it (RFC 4666, 4.3.2).
type ASState uint8

// The states. ASDown covers AS-DOWN and AS-INACTIVE: nobody takes its traffic.
const (
	ASDown    ASState = iota
	ASActive          // one association or more takes its traffic
	ASPending         // the last one was lost: traffic is kept for T(r)
)

func (s ASState) String() string { return [...]string{"down", "active", "pending"}[s] }

// AS is an application server: one peer reached over several associations, which are named by numbers. It decides which of
// them takes a message, by the traffic mode (RFC 4666, 4.3.4.3.1), and keeps messages while there is none.
//
// Messages of one call stay in sequence: a call's messages go where its last ones went as long as that association is there
// (the user part's own sequence is by SLS, so calls of one SLS start out on one association). What was handed to an
// association that is lost may not have arrived; nothing is sent a second time, since nobody can tell.
type AS struct {
	mode         uint32
	recovery     time.Duration
	queueLimit   int
	active       []uint32
	state        ASState
	recoveryEnd  time.Duration // of ASPending
	queued       [][]byte
	queuedOctets int
}

// NewAS makes an application server that has no association yet. recovery is T(r) (RFC 4666, 4.3.2): how long its traffic
// waits for an association when the last one is lost. limit bounds the octets that wait. A mode that is none is loadshare.
func NewAS(mode uint32, recovery time.Duration, queueLimit int) *AS {
	if mode != TrafficOverride && mode != TrafficBroadcast {
		mode = TrafficLoadshare
	}
	return &AS{mode: mode, recovery: recovery, queueLimit: queueLimit}
}

// State is the present state.
func (s *AS) State() ASState { return s.state }

// Active tells whether an association takes traffic.
func (s *AS) Active(id uint32) bool { return slices.Contains(s.active, id) }

// Up takes an association that is active from now on. kept are the messages that waited, in their order: they go to it
// before any other. replaced are associations that take no traffic any more, since the mode is override: they are told
// "alternate ASP active".
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

// Down takes the loss of an association. When it was the last one, T(r) begins.
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

// Until is the end of T(r) in state pending.
func (s *AS) RecoveryEnd() time.Duration { return s.recoveryEnd }

// Expire ends T(r); true: it is over, and what waited is lost.
func (s *AS) Expire(now time.Duration) bool {
	if s.state != ASPending || now < s.recoveryEnd {
		return false
	}
	s.state, s.queued, s.queuedOctets = ASDown, nil, 0
	return true
}

// GiveUp lets T(r) end now.
func (s *AS) EndRecovery(now time.Duration) { s.recoveryEnd = min(s.recoveryEnd, now) }

// Route appends the associations that a message goes to. last is the one that the call's last message came by or went to.
// None is appended while the message waits for an association. ok is false when it is lost: nothing takes the traffic, or
// as much as may wait does.
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
