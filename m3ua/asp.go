package m3ua

import (
	"encoding/binary"
	"time"
)

// State is the state of the ASP on one association; both ends track it (RFC 4666, 4.3.1).
type State uint8

// The states of an ASP.
const (
	Down State = iota
	Inactive
	Active
)

func (s State) String() string { return [...]string{"down", "inactive", "active"}[s] }

// Timers are the timers and retry limits of an association. A zero value stands for the default in brackets.
type Timers struct {
	Ack   time.Duration // T(ack), after which an unacknowledged request is sent again (2 s; RFC 4666, 4.3.4.1)
	Tries int           // unacknowledged requests or heartbeats after which the association fails (3)
	Beat  time.Duration // T(beat), the interval between heartbeats (5 s)
	// BeatLimit is how long nothing at all may be received before the association fails (2 times Beat). It fails sooner when
	// Tries heartbeats in a row time out; their time-out follows the measured round-trip time and doubles each time.
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

// Outcome is the result of a message or of a timer.
type Outcome uint8

// The outcomes.
const (
	Nothing     Outcome = iota
	Deliver             // the message is for the user part: DATA, SSNM or NTFY
	Activated           // traffic may flow from now on
	Deactivated         // traffic stops; the connection stays open
	Failed              // the association has failed or was taken down: close the connection
)

// ASP is the state machine of one end of an association. The ASP end sends ASPUP and ASPAC to request traffic (RFC 4666,
// 4.3.4); the SGP end, made by NewSGP, acknowledges them. The owner passes in each message and the time, and sends the frames
// that are appended to Out.
type ASP struct {
	Out []byte // frames to be sent; the owner empties it

	timers       Timers
	server       bool // this is the SGP end
	state        State
	id           uint32        // ASP identifier
	context      uint32        // routing context of ASPAC; used on the ASP end
	trafficMode  uint32        // requested by the peer; used on the SGP end
	awaited      Kind          // acknowledgement, or on the SGP end request, that is awaited; 0: none
	unacked      int           // requests sent in a row without an acknowledgement
	ackDeadline  time.Duration // for the awaited message
	lastReceived time.Duration // when the last message of any kind arrived
	nextBeat     time.Duration
	beatCount    uint64
	heartbeat    heartbeat
}

// heartbeat supervises the acknowledgements of heartbeats. Their time-out is computed from the round-trip time as in RFC 6298,
// section 2.
type heartbeat struct {
	sentAt      [8]time.Duration // of the last heartbeats, by number modulo 8; 0: already acknowledged
	ackDeadline time.Duration    // for an acknowledgement; 0: none is awaited
	missed      int              // time-outs in a row
	srtt        time.Duration    // SRTT, the smoothed round-trip time; 0: not measured yet
	rttvar      time.Duration    // RTTVAR, the round-trip time variation
	rto         time.Duration    // RTO, the time-out before any doubling
}

// The initial and the lowest RTO. A peer may pause for more than a second, for example for garbage collection or a live
// migration of its machine. With the lowest RTO, three heartbeats time out after 0.5 + 1 + 2 = 3.5 s.
const (
	initialRTO = time.Second
	minRTO     = 500 * time.Millisecond
)

// updateRTO updates the time-out with a measured round-trip time.
func (p *heartbeat) updateRTO(roundTrip time.Duration) {
	if p.srtt == 0 {
		p.srtt, p.rttvar = roundTrip, roundTrip/2
	} else {
		p.rttvar += ((p.srtt - roundTrip).Abs() - p.rttvar) / 4
		p.srtt += (roundTrip - p.srtt) / 8
	}
	p.rto = max(minRTO, p.srtt+4*p.rttvar)
}

// NewASP returns the ASP end of an association whose connection was opened at now. id is the ASP identifier, context the
// routing context.
func NewASP(timers Timers, id, context uint32, now time.Duration) *ASP {
	a := &ASP{timers: timers.withDefaults(), id: id, context: context, lastReceived: now}
	a.nextBeat = now + a.timers.Beat
	a.sendRequest(ASPUP, now)
	return a
}

// NewSGP returns the SGP end of an association whose connection was opened at now.
func NewSGP(timers Timers, now time.Duration) *ASP {
	a := &ASP{timers: timers.withDefaults(), server: true, lastReceived: now}
	a.nextBeat = now + a.timers.Beat
	// A peer that opens a connection but never sends ASPUP is closed after the same time as one that never acknowledges.
	a.awaited, a.unacked, a.ackDeadline = ASPUP, a.timers.Tries, now+time.Duration(a.timers.Tries)*a.timers.Ack
	return a
}

// State returns the current state.
func (a *ASP) State() State { return a.state }

// Override reports, on the SGP end, whether the peer requested traffic mode override (RFC 4666, 4.3.4.3).
func (a *ASP) Override() bool { return a.trafficMode == TrafficOverride }

// ID returns the ASP identifier: this end's own on the ASP end, the peer's on the SGP end.
func (a *ASP) ID() uint32 { return a.id }

func (a *ASP) send(m *Message) { a.Out = Append(a.Out, m) }

// sendRequest sends ASPUP or ASPAC and sets the deadline for its acknowledgement.
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

// Handle handles one decoded message.
func (a *ASP) Handle(now time.Duration, m *Message) Outcome {
	a.Received(now)
	switch m.Kind {
	case BEAT:
		a.send(&Message{Kind: BEATAck, Heartbeat: m.Heartbeat})
		return Nothing
	case BEATAck:
		if len(m.Heartbeat) == 8 { // the number of the heartbeat: it identifies the transmission, so that every round trip can be measured (cf. Karn's algorithm)
			if number := binary.BigEndian.Uint64(m.Heartbeat); number > 0 && number <= a.beatCount && number+uint64(len(a.heartbeat.sentAt)) > a.beatCount {
				if sentAt := &a.heartbeat.sentAt[number%uint64(len(a.heartbeat.sentAt))]; *sentAt > 0 { // the first acknowledgement of this heartbeat
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
	case m.Kind == ASPDNAck && a.state != Down: // unsolicited: the peer takes the ASP down (RFC 4666, 4.3.4.2)
		return a.setDown(Failed)
	case m.Kind == ASPIAAck && a.state == Active: // unsolicited: the peer makes the ASP inactive; ASPAC is sent again after T(ack)
		a.state = Inactive
		a.awaited, a.unacked, a.ackDeadline = ASPACAck, 0, now+a.timers.Ack
		return Deactivated
	}
	return Nothing
}

// handleServer handles the requests of the peer on the SGP end.
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
		if previous == Active { // the peer has restarted (RFC 4666, 4.3.4.1)
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
		if m.TrafficMode == TrafficOverride { // another ASP may have taken over the traffic; this one requests it back
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

// NextDeadline returns the time by which Tick must be called.
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

// Tick handles the timers that are due at now: it sends requests again, sends heartbeats and detects an unresponsive peer.
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

// sendHeartbeat sends a heartbeat and sets the deadline for its acknowledgement.
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

// RoundTrip returns the smoothed round-trip time of heartbeats; 0: not measured yet.
func (a *ASP) RoundTrip() time.Duration { return a.heartbeat.srtt }

// Close ends the association; the ASP end sends ASPDN.
func (a *ASP) Close() {
	if !a.server && a.state != Down {
		a.send(&Message{Kind: ASPDN})
	}
	a.setDown(Nothing)
}

// Received records the arrival of a message. The owner calls it for a message that it does not pass to Handle.
func (a *ASP) Received(now time.Duration) {
	a.lastReceived = now
	a.heartbeat.ackDeadline, a.heartbeat.missed = 0, 0 // any message shows that the peer is alive
}
