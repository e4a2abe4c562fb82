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
	Broken              // the association is of no use any more: close the connection
)

// ASP is the end of an association that asks for traffic: it sends ASPUP and ASPAC (RFC 4666, 4.3.4). SGP, the other
// end, answers. Both are fed each message and the time, and append frames to be sent to Out.
type ASP struct {
	Out []byte // frames to be sent; the owner takes them and cuts the slice

	t       Timers
	server  bool
	state   State
	id      uint32
	context uint32
	traffic uint32
	want    Kind // acknowledgement awaited; 0: none
	tries   int
	due     time.Duration // of the acknowledgement
	heard   time.Duration
	beatAt  time.Duration
	beats   uint64
	probe   probe
}

// probe is a heartbeat that has no acknowledgement yet, and what is known of the time that they take (RFC 6298, section 2).
type probe struct {
	sent       [8]time.Duration // of the last ones, by number
	due        time.Duration    // of the acknowledgement; 0: none is awaited
	missed     int
	smoothed   time.Duration // SRTT; 0: none was measured
	variation  time.Duration // RTTVAR
	retransmit time.Duration // RTO
}

// The bounds of RTO. A peer may stand still for a second and more (a collection of garbage, a moved machine): with three
// heartbeats the floor gives it three and a half.
const (
	firstRTO = time.Second
	leastRTO = 500 * time.Millisecond
)

// measured takes the time that an acknowledgement took.
func (p *probe) measured(d time.Duration) {
	if p.smoothed == 0 {
		p.smoothed, p.variation = d, d/2
	} else {
		p.variation += ((p.smoothed - d).Abs() - p.variation) / 4
		p.smoothed += (d - p.smoothed) / 8
	}
	p.retransmit = max(leastRTO, p.smoothed+4*p.variation)
}

// NewASP makes the asking end, opened at now. id is the ASP identifier, context the routing context.
func NewASP(t Timers, id, context uint32, now time.Duration) *ASP {
	a := &ASP{t: t.withDefaults(), id: id, context: context, heard: now}
	a.beatAt = now + a.t.Beat
	a.request(ASPUP, now)
	return a
}

// NewSGP makes the answering end, opened at now.
func NewSGP(t Timers, now time.Duration) *ASP {
	a := &ASP{t: t.withDefaults(), server: true, heard: now}
	a.beatAt = now + a.t.Beat
	// A peer that opens a connection and never says ASPUP is given up like one that never answers.
	a.want, a.tries, a.due = ASPUP, a.t.Tries, now+time.Duration(a.t.Tries)*a.t.Ack
	return a
}

// State is the present state.
func (a *ASP) State() State { return a.state }

// Override tells, on the answering end, that the peer asked for traffic mode override (RFC 4666, 4.3.4.3).
func (a *ASP) Override() bool { return a.traffic == TrafficOverride }

// ID is the ASP identifier, of the peer on the answering end.
func (a *ASP) ID() uint32 { return a.id }

func (a *ASP) send(m *Message) { a.Out = Append(a.Out, m) }

func (a *ASP) request(k Kind, now time.Duration) {
	m := Message{Kind: k}
	switch k {
	case ASPUP:
		m.HasASPID, m.ASPID = true, a.id
		a.want = ASPUPAck
	case ASPAC:
		m.Traffic, m.HasContext, m.Context = TrafficLoadshare, true, a.context
		a.want = ASPACAck
	}
	a.send(&m)
	a.due = now + a.t.Ack
}

// Handle takes one decoded message.
func (a *ASP) Handle(now time.Duration, m *Message) Outcome {
	a.Heard(now)
	switch m.Kind {
	case BEAT:
		a.send(&Message{Kind: BEATAck, Heartbeat: m.Heartbeat})
		return Nothing
	case BEATAck:
		if len(m.Heartbeat) == 8 { // its own number comes back, so that a repeated one is no riddle (Karn)
			if n := binary.BigEndian.Uint64(m.Heartbeat); n > 0 && n <= a.beats && n+uint64(len(a.probe.sent)) > a.beats {
				if sent := &a.probe.sent[n%uint64(len(a.probe.sent))]; *sent > 0 { // once for each
					a.probe.measured(now - *sent)
					*sent = 0
				}
			}
		}
		return Nothing
	case ERR:
		return Nothing
	case DATA, DUNA, DAVA, DAUD, SCON, DUPU, DRST:
		if a.state != Active { // RFC 4666, 4.3.4.3: no traffic from an ASP that is not active
			a.send(&Message{Kind: ERR, ErrorCode: ErrUnexpected})
			return Nothing
		}
		return Deliver
	case NTFY:
		return Deliver
	}
	if a.server {
		return a.serve(now, m)
	}
	switch {
	case m.Kind == ASPUPAck && a.want == ASPUPAck:
		a.state, a.tries = Inactive, 0
		a.request(ASPAC, now)
	case m.Kind == ASPACAck && a.want == ASPACAck:
		a.state, a.want = Active, 0
		return Activated
	case m.Kind == ASPDNAck && a.state != Down: // unasked: the peer takes the ASP down (RFC 4666, 4.3.4.2)
		return a.drop(Broken)
	case m.Kind == ASPIAAck && a.state == Active: // unasked: traffic is taken away
		a.state = Inactive
		a.want, a.tries, a.due = ASPACAck, 0, now+a.t.Ack
		return Deactivated
	}
	return Nothing
}

func (a *ASP) serve(now time.Duration, m *Message) Outcome {
	switch m.Kind {
	case ASPUP:
		if m.HasASPID {
			a.id = m.ASPID
		}
		was := a.state
		a.state, a.want = Inactive, ASPAC
		a.due = now + time.Duration(a.t.Tries)*a.t.Ack
		a.send(&Message{Kind: ASPUPAck})
		if was == Active { // an ASPUP in state active: it has started anew (RFC 4666, 4.3.4.1)
			a.send(&Message{Kind: ERR, ErrorCode: ErrUnexpected})
			return Deactivated
		}
		a.send(&Message{Kind: NTFY, StatusType: StatusASState, StatusInfo: InfoASInactive})
	case ASPAC:
		if a.state == Down {
			a.send(&Message{Kind: ERR, ErrorCode: ErrUnexpected})
			return Nothing
		}
		was := a.state
		a.state, a.want, a.traffic = Active, 0, m.Traffic
		a.send(&Message{Kind: ASPACAck, Traffic: m.Traffic, HasContext: m.HasContext, Context: m.Context})
		if was != Active {
			a.send(&Message{Kind: NTFY, StatusType: StatusASState, StatusInfo: InfoASActive})
			return Activated
		}
		if m.Traffic == TrafficOverride { // another may have taken its place: it asks to have its traffic again
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
		return a.drop(Broken)
	default:
		a.send(&Message{Kind: ERR, ErrorCode: ErrUnexpected})
	}
	return Nothing
}

func (a *ASP) drop(o Outcome) Outcome {
	a.state, a.want = Down, 0
	return o
}

// Next is the time at which Tick must be called at the latest.
func (a *ASP) Next() time.Duration {
	next := min(a.beatAt, a.heard+a.t.BeatLimit)
	if a.want != 0 {
		next = min(next, a.due)
	}
	if a.probe.due != 0 {
		next = min(next, a.probe.due)
	}
	return next
}

// Tick lets time pass: it repeats requests, sends heartbeats and gives up a silent peer.
func (a *ASP) Tick(now time.Duration) Outcome {
	if now >= a.heard+a.t.BeatLimit {
		return a.drop(Broken)
	}
	if a.want != 0 && now >= a.due {
		if a.tries++; a.tries >= a.t.Tries {
			return a.drop(Broken)
		}
		if a.want == ASPUPAck {
			a.request(ASPUP, now)
		} else {
			a.request(ASPAC, now)
		}
	}
	if p := &a.probe; p.due != 0 && now >= p.due {
		if p.missed++; p.missed >= a.t.Tries {
			return a.drop(Broken)
		}
		a.beat(now)
	}
	if now >= a.beatAt {
		a.beat(now)
	}
	return Nothing
}

// beat sends a heartbeat and awaits its acknowledgement.
func (a *ASP) beat(now time.Duration) {
	p := &a.probe
	a.beats++
	a.send(&Message{Kind: BEAT, Heartbeat: binary.BigEndian.AppendUint64(nil, a.beats)})
	a.beatAt = now + a.t.Beat
	p.sent[a.beats%uint64(len(p.sent))] = now
	if p.retransmit == 0 {
		p.retransmit = firstRTO
	}
	p.due = now + p.retransmit<<p.missed
}

// RoundTrip is the smoothed time that heartbeats take; 0: none was answered.
func (a *ASP) RoundTrip() time.Duration { return a.probe.smoothed }

// Close says that the association ends: ASPDN from the asking end.
func (a *ASP) Close() {
	if !a.server && a.state != Down {
		a.send(&Message{Kind: ASPDN})
	}
	a.drop(Nothing)
}

// Heard notes that a message came that the owner deals with itself.
func (a *ASP) Heard(now time.Duration) {
	a.heard = now
	a.probe.due, a.probe.missed = 0, 0 // whatever it was, the peer is there
}
