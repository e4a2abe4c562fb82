package policy

import "time"

// Config is what a controller is told once, when it starts.
type Config struct {
	Seed            uint64 // seeds the order in which tandems are tried
	Self            int    // point code of the own exchange, -1 where the far ends are pools
	Controllers     int    // number of call controllers, this one included
	Index           int    // own number among them, from 0
	Pools           bool   // the far ends are pools of agents shared by all, not exchanges of a mesh
	SubscribeToList bool   // changes of the list of exchanges come only after Subscribe

	Classes []Class
	Tenants []Tenant
	// OverQuotaWorth is the worth of a call beyond its tenant's quota, as a share of the class's worth.
	OverQuotaWorth float64

	MarksRedials bool // callers mark calls that are dialled again: see Offered

	MaxAttempts int           // attempts allowed for one call
	Guard       time.Duration // release wait after a time-out, reset or cancel
	Repeat      time.Duration // a set-up that waits at a processor is sent again after this; 0: never

	WarmUp        time.Duration // an exchange is warm so long after its start
	ColdShare     float64       // share of its capacity that a fresh exchange has at the least
	CrashMultiple float64       // a cold exchange falls over when sent this multiple of its capacity ...
	CrashSpan     time.Duration // ... for so long
}

// Class is one class of calls.
type Class struct {
	Aim        time.Duration // set-up time that earns the full worth
	Worth      float64       // worth of a call that stands to its end
	LateWorth  float64       // share of the worth that a late set-up earns
	Circuits   float64       // circuits seized on each trunk group
	Repeatable bool          // a set-up that may have run can be tried again and refused
	Pools      []int         // with Config.Pools: the pools that may take the class
}

// Tenant is one of the customers that share the exchanges.
type Tenant struct {
	Quota float64 // calls a second within its share, over all controllers; 0: unlimited
}

// Health is the state of an exchange in the list.
type Health uint8

// The states that the list knows.
const (
	Ready Health = iota
	Draining
	Gone
)

// Entry is one exchange of the list. A machine that replaces another has a new Address and the same
// PointCode.
type Entry struct {
	Address   string
	PointCode int
	Health    Health
	Launched  time.Duration // latest start; 0: long ago
}

// Report is what is told of a far exchange. Values below zero are unknown.
type Report struct {
	Free, Size  float64 // circuits of the trunk group towards it
	Utilisation float64 // busy share of its processor
	Queue       float64 // set-ups waiting there
	Rate        float64 // new set-ups a second that it can take from all senders
	Wait        float64 // wait at its processor, in seconds
	Reduction   float64 // share of new set-ups that it asks each sender to keep back
}

// Cause tells how an attempt ended.
type Cause uint8

// The causes. NotSetUp, NoContact and NotSent prove that the set-up was never carried out.
const (
	Completed Cause = iota // the call stood and has ended
	Failed                 // all lines of the number busy, or a signalling fault
	NotSetUp               // turned back, or a processor or pool was full
	TimedOut               // no answer in time
	NoContact              // the exchange could not be reached
	Reset                  // the set-up or the standing call was cut
	Cancelled              // withdrawn
	NotSent                // it never left: no circuit, own processor down, call over
)

// Reason tells more about a Cause.
type Reason uint8

// The reasons.
const (
	NoReason      Reason = iota
	NoCircuit            // no circuit or agent free
	Crankback            // returned by the tandem
	CrankbackFull        // returned by the tandem: the processor beyond it was full
	ProcessorFull        // the processor was full (with NotSent: the own one is down)
	NumberBusy           // all lines of the number are busy
	NoAnswer             // it rang and nobody answered: no state of any exchange
)

// Event is something that the controller is told: one of the types below.
type Event interface{ event() }

type (
	// List brings the list of exchanges: whole, its changes, or word that it could not be had.
	List struct {
		Full, Failed bool
		Entries      []Entry
	}
	// Offered hands a call to the controller, which owes it one final answer before Due.
	Offered struct {
		Call        uint64
		Class       int
		Tenant      int
		Number      string // the dialled number
		Destination int    // point code of the destination exchange (pools: first choice)
		// AdvisedTandem is the tandem with most room as a centre saw it, or -1; in transit: its origin.
		AdvisedTandem int
		Circuits      float64
		Due           time.Duration
		Transit       bool  // sent here by another exchange: on to its destination or back
		CutBefore     bool  // it stood, was cut and comes again
		Redial        bool  // dialled again, where callers mark it
		Excluded      []int // point codes that this call is kept away from
	}
	// Alerting tells that the processor's part of an attempt is over and the number rings (address complete,
	// Q.764, 2.1.4). The attempt is still out. Where no such word comes, Established ends both parts.
	Alerting struct {
		Call     uint64
		Attempt  int
		Exchange string
		Delay    time.Duration
	}
	// Established tells that the call stands.
	Established struct {
		Call     uint64
		Attempt  int
		Exchange string
		Delay    time.Duration
	}
	// AttemptEnded tells how an attempt ended. Final: nothing is owed to the call any more.
	AttemptEnded struct {
		Call     uint64
		Attempt  int
		Exchange string
		Final    bool
		Delay    time.Duration
		Cause    Cause
		Reason   Reason
		Wait     time.Duration // wait that a full processor asks for
		Report   *Report
	}
	// CallerReleased tells that the caller has left.
	CallerReleased struct{ Call uint64 }
	// Status is an answer to Probe, or unasked word that a trunk group or a load has changed. Of the own
	// exchange, by its address in the list, it tells the own lateness in Wait.
	Status struct {
		Exchange string
		Asked    bool // an answer to Probe
		OK       bool
		Delay    time.Duration
		Report   Report
	}
	// Timer tells that a timer set by SetTimer has run out.
	Timer struct{ ID uint64 }
)

func (List) event()           {}
func (Offered) event()        {}
func (Alerting) event()       {}
func (Established) event()    {}
func (AttemptEnded) event()   {}
func (CallerReleased) event() {}
func (Status) event()         {}
func (Timer) event()          {}

// Action is something that the controller wants done: one of the types below.
type Action interface{ action() }

type (
	// SetUp starts an attempt: the direct route if Exchange is the destination, else over it as tandem.
	// TimeOut runs until Alerting or Established.
	SetUp struct {
		Call     uint64
		Exchange string
		TimeOut  time.Duration
	}
	// Refuse is the final answer that a call is rejected. Its caller is asked to stay away for Wait; 0: not
	// asked.
	Refuse struct {
		Call uint64
		Wait time.Duration
	}
	// Fail is the final answer that a call is given up.
	Fail struct{ Call uint64 }
	// SetTimer asks for a Timer event.
	SetTimer struct {
		ID    uint64
		After time.Duration
	}
	// Subscribe asks for changes of the list of exchanges.
	Subscribe struct{}
)

func (SetUp) action()     {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
