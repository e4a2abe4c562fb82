package policy

import "time"

// Config is the configuration of an Engine. It does not change while the Engine runs.
type Config struct {
	Seed            uint64 // seeds the order in which tandems are tried
	Self            int    // point code of the own exchange; -1 with Pools
	Controllers     int    // number of call controllers, this one included
	Index           int    // own number among them, from 0
	Pools           bool   // the far ends are pools of agents shared by all controllers, not exchanges
	SubscribeToList bool   // list updates are sent only after a Subscribe action

	Classes []Class
	Tenants []Tenant
	// OverQuotaWorth is the worth of a call beyond its tenant's quota, as a share of the worth of its class.
	OverQuotaWorth float64

	MarksRedials bool // callers mark redials in Offered.Redial

	MaxAttempts     int           // attempts allowed for one call
	Guard           time.Duration // no new attempt for this long after a time-out, reset or cancellation
	RetransmitAfter time.Duration // a set-up that waits at a processor is retransmitted after this; 0: never

	WarmUp        time.Duration // an exchange is cold for this long after its start
	ColdShare     float64       // least capacity of a cold exchange, as a share of its warm capacity
	CrashMultiple float64       // a cold exchange fails when it is sent this multiple of its capacity
	CrashSpan     time.Duration // time over which CrashMultiple is counted
}

// Class is one class of calls.
type Class struct {
	Aim        time.Duration // target for the set-up time; a call within it earns its full worth
	Worth      float64       // worth of a call that is established and not cut
	LateWorth  float64       // share of the worth that a call set up after its aim earns
	Circuits   float64       // circuits that a call seizes on each trunk group
	Repeatable bool          // a set-up that may have been carried out can be tried again
	Pools      []int         // with Config.Pools: the pools that serve the class
}

// Tenant is a customer. The tenants share the exchanges.
type Tenant struct {
	Quota float64 // calls per second at full worth, over all controllers; not applied to a single tenant
}

// Health is the state of an exchange in the list.
type Health uint8

// The states of an exchange in the list.
const (
	Ready    Health = iota // takes new calls
	Draining               // takes no new calls, established calls go on
	Removed                // no longer in service
)

// Entry is one exchange of the list. A machine that replaces another has a new Address and the same
// PointCode.
type Entry struct {
	Address   string
	PointCode int
	Health    Health
	StartedAt time.Duration // latest start; 0: long ago
}

// Report is a status report of an exchange. Values below zero are unknown.
type Report struct {
	Free, Size  float64 // circuits of the trunk group towards it
	Utilisation float64 // busy share of its processor
	Queue       float64 // set-ups waiting at its processor
	Rate        float64 // new set-ups per second that it can take from all controllers
	Wait        float64 // queueing delay at its processor, in seconds
	Reduction   float64 // share of new set-ups that it asks each controller not to send
}

// Cause is how an attempt or an established call ended.
type Cause uint8

// The causes. NotSetUp, NoContact and NotSent prove that the set-up was never carried out.
const (
	Completed Cause = iota // the call was established and has ended normally
	Failed                 // all lines of the number busy, or a signalling fault
	NotSetUp               // turned back (crankback), or a processor, trunk group or pool was full
	TimedOut               // no answer in time
	NoContact              // the exchange could not be reached
	Reset                  // the set-up or the established call was cut
	Cancelled              // the controller cancelled the set-up
	NotSent                // not sent: no circuit, own processor down or call over
)

// Reason details a Cause.
type Reason uint8

// The reasons.
const (
	NoReason      Reason = iota
	NoCircuit            // no circuit or agent free
	Crankback            // turned back by the tandem
	CrankbackFull        // turned back by the tandem: the processor of the destination was full
	ProcessorFull        // the processor was full (with NotSent: the own one is down)
	NumberBusy           // all lines of the number are busy
	NoAnswer             // the number rang unanswered, which shows nothing about any exchange
)

// Event is an input of the Engine: one of the types below.
type Event interface{ event() }

type (
	// List is an update of the list of exchanges: the whole list if Full, otherwise the entries that have
	// changed. Failed means that it could not be read; the Engine keeps the list that it has.
	List struct {
		Full, Failed bool
		Entries      []Entry
	}
	// Offered is a new call. Unless it is established or abandoned, it gets one final answer before Due.
	Offered struct {
		Call        uint64
		Class       int
		Tenant      int
		Number      string // the dialled number
		Destination int    // point code of the destination exchange; with Config.Pools the first choice
		// AdvisedTandem is the tandem that a central point advises as having the most free capacity;
		// -1: none. For a call in transit it is the exchange that the call comes from.
		AdvisedTandem int
		Circuits      float64
		Due           time.Duration
		Transit       bool  // this exchange is the tandem: the call goes to its destination or back
		CutBefore     bool  // the call was established, was cut and is offered again
		Redial        bool  // the caller marked it as a redial, see Config.MarksRedials
		Excluded      []int // point codes of exchanges that must not be used
	}
	// Alerting means that the processor's part of an attempt is over and the number rings (address complete,
	// Q.764, 2.1.4). The attempt is still outstanding. Without Alerting, Established ends both parts.
	Alerting struct {
		Call     uint64
		Attempt  int
		Exchange string
		Delay    time.Duration
	}
	// Established means that the call was answered.
	Established struct {
		Call     uint64
		Attempt  int
		Exchange string
		Delay    time.Duration
	}
	// AttemptEnded means that an attempt or an established call has ended. If Final, the call gets no
	// further attempt or answer.
	AttemptEnded struct {
		Call     uint64
		Attempt  int
		Exchange string
		Final    bool
		Delay    time.Duration
		Cause    Cause
		Reason   Reason
		Wait     time.Duration // back-off that a full processor asks for
		Report   *Report
	}
	// CallerReleased means that the caller has abandoned the call.
	CallerReleased struct{ Call uint64 }
	// Status is a status report of an exchange, sent when its trunk group or its load has changed or as the
	// answer to a probe. With the address of the own exchange, Report.Wait is the own queueing delay.
	Status struct {
		Exchange  string
		Solicited bool // it answers a probe
		OK        bool
		Delay     time.Duration
		Report    Report
	}
	// Timer means that a timer set by SetTimer has expired.
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

// Action is an output of the Engine: one of the types below.
type Action interface{ action() }

type (
	// SetUp starts an attempt: directly if Exchange is the destination, otherwise over it as tandem. TimeOut
	// is the longest time until Alerting or Established.
	SetUp struct {
		Call     uint64
		Exchange string
		TimeOut  time.Duration
	}
	// Refuse is the final answer that a call is rejected. Its caller is asked to stay away for Wait
	// (retry-after); 0: not asked.
	Refuse struct {
		Call uint64
		Wait time.Duration
	}
	// Fail is the final answer that a call has failed after an attempt that may have been carried out.
	Fail struct{ Call uint64 }
	// SetTimer requests a Timer event with the same ID.
	SetTimer struct {
		ID    uint64
		After time.Duration
	}
	// Subscribe requests updates of the list of exchanges.
	Subscribe struct{}
)

func (SetUp) action()     {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
