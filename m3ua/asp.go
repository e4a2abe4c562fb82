package m3ua

import (
	"encoding/binary"
	"time"
)

// State is the state of an association as its two ends see it (RFC 4666, 4.3.1).
type State uint8

// The states of an ASP.
const (
	Down State = iota
	Inactive
	Active
)

func (s State) String() string { return [...]string{"down", "inactive", "active"}[s] }

// Timers of an association. Zero values are replaced by the defaults in brackets.
type Timers struct {
	Ack   time.Duration // T(ack): a request without its acknowledgement is sent again (2 s; RFC 4666, 4.3.4.1)
	Tries int           // requests sent in vain before the association is given up (3)
	Beat  time.Duration // between two heartbeats (5 s)
	// BeatLimit: nothing at all heard for so long, the association is given up (2 times Beat). It is given up sooner when as
	// many heartbeats as Tries have had no answer within the time that answers take, doubled from one to the next.
	BeatLimit time.Duration
}

func (t Timers) withDefaults() Timers {
	if t.Ack == 0 {
		t.Ack = 2 * time.Second
	}
	if t.Tries == 0 {
		t.Tries = 3
	}
	if t.Beat == 0 {
		t.Beat = 5 * time.Second
	}
	if t.BeatLimit == 0 {
		t.BeatLimit = 2 * t.Beat
	}
	return t
}

// Outcome is what an association makes of a message or of the time.
type Outcome uint8

// The outcomes.
const (
	Nothing     Outcome = iota
	Deliver             // a message for the user: DATA, SSNM or NTFY
	Activated           // traffic may flow from now on
	Deactivated         // traffic stops; the connection stays
	Failed              // the association is of no use any more: close the connection
)

// ASP is the end of an association that asks for traffic: it sends ASPUP and ASPAC (RFC 4666, 4.3.4). SGP, the other
// end, answers. Both are fed each message and the time, and append frames to be sent to Out.
type ASP struct {
	Out []byte // frames to be sent; the owner takes them and cuts the slice

	timers       Timers
	server       bool
	state        State
	id           uint32
	context      uint32
	trafficMode  uint32
	awaited      Kind // acknowledgement awaited; 0: none
	unacked      int
	ackDeadline  time.Duration // of the acknowledgement
	lastReceived time.Duration
	nextBeat     time.Duration
	beatCount    uint64
	heartbeat    heartbeat
}

// probe is a heartbeat that has no acknowledgement yet, and what is known of the time that they take (RFC 6298, section 2).
type heartbeat struct {
	sentAt      [8]time.Duration // of the last ones, by number
	ackDeadline time.Duration    // of the acknowledgement; 0: none is awaited
	missed      int
	srtt        time.Duration // SRTT; 0: none was measured
	rttvar      time.Duration // RTTVAR
	rto         time.Duration // RTO
}

// The bounds of RTO. A peer may stand still for a second and more (a collection of garbage, a moved machine): with three
// heartbeats the floor gives it three and a half.
const (
	initialRTO = time.Second
	minRTO     = 500 * time.Millisecond
)

// measured takes the time that an acknowledgement took.
func (p *heartbeat) updateRTO(roundTrip time.Duration) {
	if p.srtt == 0 {
		p.srtt, p.rttvar = roundTrip, roundTrip/2
	} else {
		p.rttvar += ((p.srtt - roundTrip).Abs() - p.rttvar) / 4
		p.srtt += (roundTrip - p.srtt) / 8
	}
	p.rto = max(minRTO, p.srtt+4*p.rttvar)
}

// NewASP makes the asking end, opened at now. id is the ASP identifier, context the routing context.
func NewASP(timers Timers, id, context uint32, now time.Duration) *ASP {
	a := &ASP{timers: timers.withDefaults(), id: id, context: context, lastReceived: now}
	a.nextBeat = now + a.timers.Beat
	a.sendRequest(ASPUP, now)
	return a
}

// NewSGP makes the answering end, opened at now.
func NewSGP(timers Timers, now time.Duration) *ASP {
	a := &ASP{timers: timers.withDefaults(), server: true, lastReceived: now}
	a.nextBeat = now + a.timers.Beat
	// A peer that opens a connection and never says ASPUP is given up like one that never answers.
	a.awaited, a.unacked, a.ackDeadline = ASPUP, a.timers.Tries, now+time.Duration(a.timers.Tries)*a.timers.Ack
	return a
}

// State is the present state.
func (a *ASP) State() State { return a.state }

// Override tells, on the answering end, that the peer asked for traffic mode override (RFC 4666, 4.3.4.3).
func (a *ASP) Override() bool { return a.trafficMode == TrafficOverride }

// ID is the ASP identifier, of the peer on the answering end.
func (a *ASP) ID() uint32 { return a.id }

func (a *ASP) send(m *Message) { a.Out = Append(a.Out, m) }

func (a *ASP) sendRequest(request Kind, now time.Duration) {
	m := Message{Kind: request}
	switch request {
	case ASPUP:
		m.HasASPID, m.ASPID = true, a.id
		a.awaited = ASPUPAck
	case ASPAC:
		m.TrafficMode, m.HasRoutingContext, m.RoutingContext = TrafficLoadshare, true, a.context
		a.awaited = ASPACAck
	}
	a.send(&m)
	a.ackDeadline = now + a.timers.Ack
}

// Handle takes one decoded message.
func (a *ASP) Handle(now time.Duration, m *Message) Outcome {
	a.Received(now)
	switch m.Kind {
	case BEAT:
		a.send(&Message{Kind: BEATAck, Heartbeat: m.Heartbeat})
		return Nothing
	case BEATAck:
		if len(m.Heartbeat) == 8 { // its own number comes back, so that a repeated one is no riddle (Karn)
			if number := binary.BigEndian.Uint64(m.Heartbeat); number > 0 && number <= a.beatCount && number+uint64(len(a.heartbeat.sentAt)) > a.beatCount {
				if sentAt := &a.heartbeat.sentAt[number%uint64(len(a.heartbeat.sentAt))]; *sentAt > 0 { // once for each
					a.heartbeat.updateRTO(now - *sentAt)
					*sentAt = 0
				}
			}
		}
		return Nothing
	case ERR:
		return Nothing
	case DATA, DUNA, DAVA, DAUD, SCON, DUPU, DRST:
		if a.state != Active { // RFC 4666, 4.3.4.3: no traffic from an ASP that is not active
			a.send(&Message{Kind: ERR, ErrorCode: ErrUnexpectedMessage})
			return Nothing
		}
		return Deliver
	case NTFY:
		return Deliver
	}
	if a.server {
		return a.handleServer(now, m)
	}
	switch {
	case m.Kind == ASPUPAck && a.awaited == ASPUPAck:
		a.state, a.unacked = Inactive, 0
		a.sendRequest(ASPAC, now)
	case m.Kind == ASPACAck && a.awaited == ASPACAck:
		a.state, a.awaited = Active, 0
		return Activated
	case m.Kind == ASPDNAck && a.state != Down: // unasked: the peer takes the ASP down (RFC 4666, 4.3.4.2)
		return a.setDown(Failed)
	case m.Kind == ASPIAAck && a.state == Active: // unasked: traffic is taken away
		a.state = Inactive
		a.awaited, a.unacked, a.ackDeadline = ASPACAck, 0, now+a.timers.Ack
		return Deactivated
	}
	return Nothing
}

func (a *ASP) handleServer(now time.Duration, m *Message) Outcome {
	switch m.Kind {
	case ASPUP:
		if m.HasASPID {
			a.id = m.ASPID
		}
		previous := a.state
		a.state, a.awaited = Inactive, ASPAC
		a.ackDeadline = now + time.Duration(a.timers.Tries)*a.timers.Ack
		a.send(&Message{Kind: ASPUPAck})
		if previous == Active { // an ASPUP in state active: it has started anew (RFC 4666, 4.3.4.1)
			a.send(&Message{Kind: ERR, ErrorCode: ErrUnexpectedMessage})
			return Deactivated
		}
		a.send(&Message{Kind: NTFY, StatusType: StatusASState, StatusInfo: InfoASInactive})
	case ASPAC:
		if a.state == Down {
			a.send(&Message{Kind: ERR, ErrorCode: ErrUnexpectedMessage})
			return Nothing
		}
		previous := a.state
		a.state, a.awaited, a.trafficMode = Active, 0, m.TrafficMode
		a.send(&Message{Kind: ASPACAck, TrafficMode: m.TrafficMode, HasRoutingContext: m.HasRoutingContext, RoutingContext: m.RoutingContext})
		if previous != Active {
			a.send(&Message{Kind: NTFY, StatusType: StatusASState, StatusInfo: InfoASActive})
			return Activated
		}
		if m.TrafficMode == TrafficOverride { // another may have taken its place: it asks to have its traffic again
			return Activated
		}
	case ASPIA:
		a.send(&Message{Kind: ASPIAAck})
		if a.state == Active {
			a.state = Inactive
			return Deactivated
		}
	case ASPDN:
		a.send(&Message{Kind: ASPDNAck})
		return a.setDown(Failed)
	default:
		a.send(&Message{Kind: ERR, ErrorCode: ErrUnexpectedMessage})
	}
	return Nothing
}

func (a *ASP) setDown(outcome Outcome) Outcome {
	a.state, a.awaited = Down, 0
	return outcome
}

// Next is the time at which Tick must be called at the latest.
func (a *ASP) NextDeadline() time.Duration {
	next := min(a.nextBeat, a.lastReceived+a.timers.BeatLimit)
	if a.awaited != 0 {
		next = min(next, a.ackDeadline)
	}
	if a.heartbeat.ackDeadline != 0 {
		next = min(next, a.heartbeat.ackDeadline)
	}
	return next
}

// Tick lets time pass: it repeats requests, sends heartbeats and gives up a silent peer.
func (a *ASP) Tick(now time.Duration) Outcome {
	if now >= a.lastReceived+a.timers.BeatLimit {
		return a.setDown(Failed)
	}
	if a.awaited != 0 && now >= a.ackDeadline {
		if a.unacked++; a.unacked >= a.timers.Tries {
			return a.setDown(Failed)
		}
		if a.awaited == ASPUPAck {
			a.sendRequest(ASPUP, now)
		} else {
			a.sendRequest(ASPAC, now)
		}
	}
	if p := &a.heartbeat; p.ackDeadline != 0 && now >= p.ackDeadline {
		if p.missed++; p.missed >= a.timers.Tries {
			return a.setDown(Failed)
		}
		a.sendHeartbeat(now)
	}
	if now >= a.nextBeat {
		a.sendHeartbeat(now)
	}
	return Nothing
}

// beat sends a heartbeat and awaits its acknowledgement.
func (a *ASP) sendHeartbeat(now time.Duration) {
	p := &a.heartbeat
	a.beatCount++
	a.send(&Message{Kind: BEAT, Heartbeat: binary.BigEndian.AppendUint64(nil, a.beatCount)})
	a.nextBeat = now + a.timers.Beat
	p.sentAt[a.beatCount%uint64(len(p.sentAt))] = now
	if p.rto == 0 {
		p.rto = initialRTO
	}
	p.ackDeadline = now + p.rto<<p.missed
}

// RoundTrip is the smoothed time that heartbeats take; 0: none was answered.
func (a *ASP) RoundTrip() time.Duration { return a.heartbeat.srtt }

// Close says that the association ends: ASPDN from the asking end.
func (a *ASP) Close() {
	if !a.server && a.state != Down {
		a.send(&Message{Kind: ASPDN})
	}
	a.setDown(Nothing)
}

// Heard notes that a message came that the owner deals with itself.
func (a *ASP) Received(now time.Duration) {
	a.lastReceived = now
	a.heartbeat.ackDeadline, a.heartbeat.missed = 0, 0 // whatever it was, the peer is there
}
