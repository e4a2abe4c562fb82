package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldFleet is many controllers and one switch that starts anew: a processor with one line, so that it answers late when more
// comes than it can do.
type coldStartFleet struct {
	cfg        Config
	rates      []float64 // usual set-ups a second of each controller to the switch
	engine     []*Engine
	now        time.Duration
	rnd        *rand.Rand
	lastCallID uint64
	pending    []fleetEvent
	idleAt     time.Duration // when the processor has done what it has
	capacity   float64       // set-ups a second that it can do
	address    string
	startedAt  time.Duration
	sent       []time.Duration // set-ups to the switch since its start
}

type fleetEvent struct {
	at time.Duration
	to *Engine
	ev Event
}

func (f *coldStartFleet) startEngine(i int) {
	cfg := f.cfg
	cfg.Self, cfg.Seed, cfg.Index, cfg.Controllers = i+1, uint64(i), i, len(f.rates)+1
	engine, err := New(cfg)
	if err != nil {
		panic(err)
	}
	f.engine[i] = engine
	f.do(engine, List{Full: true, Entries: f.entries()})
}

// entries are the switch, exchange 0, and those of the controllers.
func (f *coldStartFleet) entries() []Entry {
	all := []Entry{{Address: f.address, Launched: f.startedAt}}
	for i := range f.engine {
		all = append(all, Entry{Address: fmt.Sprint("e:", i+1), PointCode: i + 1})
	}
	return all
}

func (f *coldStartFleet) do(c *Engine, ev Event) {
	for _, a := range c.Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case SetTimer:
			f.pending = append(f.pending, fleetEvent{f.now + a.After, c, Timer{ID: a.ID}})
		case SetUp:
			done := f.now + 30*ms
			if a.Exchange == f.address {
				f.idleAt = max(f.idleAt, f.now) + time.Duration(float64(time.Second)/f.capacity)
				done = f.idleAt + 20*ms
				if f.startedAt > 0 {
					f.sent = append(f.sent, f.now)
				}
			}
			end := Event(Established{Call: a.Call, Exchange: a.Exchange, Delay: done - f.now})
			if done > f.now+a.TimeOut {
				done = f.now + a.TimeOut
				end = AttemptEnded{Call: a.Call, Exchange: a.Exchange, Delay: a.TimeOut, Cause: TimedOut}
			}
			f.pending = append(f.pending, fleetEvent{done, c, end})
		}
	}
}

// run plays a time in which each controller is offered calls to the switch at a rate.
func (f *coldStartFleet) run(duration time.Duration, rate func(i int) float64) {
	const tick = 5 * ms
	for end := f.now + duration; f.now < end; f.now += tick {
		ready := slices.Clone(f.pending)
		slices.SortStableFunc(ready, func(a, b fleetEvent) int { return cmp.Compare(a.at, b.at) })
		f.pending = slices.DeleteFunc(f.pending, func(e fleetEvent) bool { return e.at <= f.now })
		for _, e := range ready {
			if e.at <= f.now && slices.Contains(f.engine, e.to) { // not of one that was restarted
				f.do(e.to, e.ev)
			}
		}
		for i, engine := range f.engine {
			offer := func(to int) {
				f.lastCallID++
				f.do(engine, Offered{Call: f.lastCallID, Destination: to, AdvisedTandem: -1, Circuits: 1, Due: f.now + 3*time.Second, Number: fmt.Sprint(f.lastCallID)})
			}
			if f.rnd.Float64() < rate(i)*tick.Seconds() {
				offer(0)
			}
			if other := 1 + f.rnd.IntN(len(f.engine)); other != i+1 && f.rnd.Float64() < f.rates[i]*float64(len(f.engine)-1)*tick.Seconds() {
				offer(other)
			}
		}
	}
}

// TestColdBudgetOfAll: however many controllers there are, however unlike each other, and though some have just been restarted,
// what all of them send to a cold switch within any span keeps to what the settings allow, and a little for chance. The switch
// can do what its usual load tells (coldUse), and stays at its cold share for the whole warm-up.
func TestColdBudgetHoldsAcrossControllers(t *testing.T) {
	for _, controllers := range []int{1, 7, 20, 30, 36} {
		for _, usual := range []float64{2.4, 5, 20} {
			for _, demand := range []string{"usual", "three times", "all at once", "ten times after a while"} {
				t.Run(fmt.Sprintf("%d controllers, %v/s, %s", controllers, usual, demand), func(t *testing.T) {
					f := &coldStartFleet{cfg: testConfig(), rates: make([]float64, controllers), engine: make([]*Engine, controllers), now: time.Hour, address: "old",
						capacity: capacityMultiple * usual, rnd: rand.New(rand.NewPCG(uint64(controllers), uint64(usual)))}
					var sum float64
					for i := range f.rates { // busy ones have several times the mean
						f.rates[i] = 0.3 + f.rnd.ExpFloat64()
						sum += f.rates[i]
					}
					for i := range f.rates {
						f.rates[i] *= usual / sum
						f.startEngine(i)
					}
					atUsual := func(times float64) func(int) float64 { return func(i int) float64 { return f.rates[i] * times } }
					f.run(20*time.Second, atUsual(1))
					f.address, f.startedAt, f.capacity, f.idleAt = "new", f.now, f.capacity*f.cfg.ColdShare, 0
					for i, engine := range f.engine {
						if i%10 == 3 { // it knows of no usual load
							f.startEngine(i)
						} else {
							f.do(engine, List{Entries: f.entries()[:1]})
						}
					}
					switch demand {
					case "usual":
						f.run(f.cfg.WarmUp, atUsual(1))
					case "three times":
						f.run(f.cfg.WarmUp, atUsual(3))
					case "ten times after a while":
						f.run(6*time.Second, atUsual(1))
						f.startEngine(0)
						f.run(f.cfg.WarmUp-6*time.Second, atUsual(10))
					case "all at once": // each has more at every moment than all may send
						f.run(f.cfg.WarmUp, func(int) float64 { return 4 })
					}
					allowed := f.cfg.CrashMultiple * f.cfg.ColdShare * capacityMultiple * usual * f.cfg.CrashSpan.Seconds()
					most := 0
					for i, from := range f.sent {
						within := len(f.sent) - i
						if j := slices.IndexFunc(f.sent, func(at time.Duration) bool { return at >= from+f.cfg.CrashSpan }); j >= 0 {
							within = j - i
						}
						most = max(most, within)
					}
					t.Logf("%d set-ups within a span at the most, %d in all, N is %.1f", most, len(f.sent), allowed)
					if limit := allowed + 2*math.Sqrt(allowed) + 2; float64(most) > limit {
						t.Errorf("%d set-ups within a span, %.1f is the most", most, limit)
					}
				})
			}
		}
	}
}
