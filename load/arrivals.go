// Package load offers calls to a running controller and measures what becomes of them. Arrivals are open: a call comes when
// its time is there, whatever became of those before, and its set-up time counts from that time, so a controller that stands
// still is not spared the calls that would have come meanwhile (coordinated omission).
package load

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/internal/config"
)

// Config is one load, from YAML. docs/operations/load.md explains each key.
type Config struct {
	Controller string        `yaml:"controller"` // address of its listener
	PointCode  uint32        `yaml:"point_code"` // of the first client; each connection has the next one
	Exchange   uint32        `yaml:"exchange"`   // point code of the controller's exchange
	Clients    int           `yaml:"clients"`    // connections
	Seed       uint64        `yaml:"seed"`
	Span       time.Duration `yaml:"span"`
	Rate       float64       `yaml:"rate"` // calls a second, all clients together
	Process    string        `yaml:"process"`
	Record     string        `yaml:"record"` // CSV of a recorded process, beside the load's file
	Burst      Burst         `yaml:"burst"`
	Classes    []Class       `yaml:"classes"`
	Numbers    []Numbers     `yaml:"numbers"`
	Redials    int           `yaml:"redials"`
	Redial     time.Duration `yaml:"redial_after"`

	recorded    []Arrival
	part, parts int // of the recorded calls every so manieth is this process's
}

// Burst multiplies the rate now and then.
type Burst struct {
	Every time.Duration `yaml:"every"`
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
}

// Class is one class of calls.
type Class struct {
	Name     string        `yaml:"name"`
	Share    float64       `yaml:"share"`
	Category int           `yaml:"category"`
	Hold     time.Duration `yaml:"hold"`     // on average
	Patience time.Duration `yaml:"patience"` // of a try, till it rings or is answered
	Ring     time.Duration `yaml:"ring"`     // it is let ring so long; 0: a minute
}

// Numbers are called numbers: a prefix and as many random digits as are missing to the length.
type Numbers struct {
	Prefix string  `yaml:"prefix"`
	Length int     `yaml:"length"`
	Share  float64 `yaml:"share"`
}

// Default has the values of keys that a file may leave out.
func Default() Config {
	return Config{PointCode: 9000, Clients: 1, Seed: 1, Span: 10 * time.Second, Rate: 10, Process: "poisson", Redial: time.Second,
		Classes: []Class{{"ordinary", 1, 10, 5 * time.Second, 3 * time.Second, time.Minute}}}
}

// Load reads and checks a file. The error is config.FileErrors, or that of reading the file.
func Load(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(path, b)
	if err == nil && c.Record != "" {
		err = c.openRecord(path)
	}
	return c, err
}

// Parse reads and checks a load; name stands in its errors.
func Parse(name string, b []byte) (*Config, error) {
	c := Default()
	if err := config.Decode(name, b, &c); err != nil {
		return nil, err
	}
	v := config.NewChecker(name, b)
	v.Must(c.Controller != "", "controller", "is missing: the address of the controller's listener")
	v.Must(c.Exchange > 0, "exchange", "is missing: the point code of the controller's exchange")
	v.Must(c.PointCode > 0 && c.PointCode+uint32(max(0, c.Clients)) < 1<<14, "point_code", "%d; point codes of %d clients must be below 16384", c.PointCode, c.Clients)
	v.Must(c.Clients >= 1 && c.Clients <= 4096, "clients", "%d; 1 to 4096 can be", c.Clients)
	v.Must(c.Span > 0 && c.Span <= 24*time.Hour, "span", "%v; above 0 to 24h can be", c.Span)
	v.Must(c.Rate > 0 && c.Rate <= 1e6, "rate", "%v; above 0 to a million can be", c.Rate)
	v.Must(c.Process == "poisson" || c.Process == "uniform" || c.Process == "recorded", "process", "%q; poisson, uniform or recorded can be", c.Process)
	v.Must((c.Process == "recorded") == (c.Record != ""), "record", "a file and the process recorded belong together")
	v.Must(c.Burst.Every == 0 || c.Burst.Every > 0 && c.Burst.For > 0 && c.Burst.For <= c.Burst.Every && c.Burst.Times > 0, "burst", "every, for and times belong together, and for is at most every")
	v.Must(len(c.Classes) > 0 && len(c.Classes) < 100, "classes", "%d classes; 1 to 99 can be", len(c.Classes))
	for i, x := range c.Classes {
		key := func(k string) string { return fmt.Sprintf("classes[%d].%s", i, k) }
		v.Must(x.Share > 0, key("share"), "%v; it must be above 0", x.Share)
		v.Must(x.Category >= 0 && x.Category < 256, key("category"), "%d is no calling party's category", x.Category)
		v.Must(x.Hold > 0, key("hold"), "%v; it must be above 0", x.Hold)
		v.Must(x.Patience > 0, key("patience"), "%v; it must be above 0", x.Patience)
		v.Must(x.Ring >= 0 && x.Ring <= 10*time.Minute, key("ring"), "%v; 0 to 10m can be", x.Ring)
		if x.Ring == 0 {
			c.Classes[i].Ring = time.Minute
		}
	}
	v.Must(len(c.Numbers) > 0 || c.Record != "", "numbers", "is missing: what is dialled")
	for i, x := range c.Numbers {
		key := fmt.Sprintf("numbers[%d]", i)
		v.Must(x.Share > 0, key+".share", "%v; it must be above 0", x.Share)
		v.Must(x.Length >= len(x.Prefix) && x.Length >= 1 && x.Length <= 24, key+".length", "%d; the prefix has %d digits and a number at most 24", x.Length, len(x.Prefix))
	}
	v.Must(c.Redials >= 0 && c.Redials <= 20, "redials", "%d; 0 to 20 can be", c.Redials)
	return &c, v.Err()
}

// Arrival is one call.
type Arrival struct {
	At     time.Duration
	Class  int
	Client int
	Called string
	Hold   time.Duration
}

// Arrivals draws calls one after the other; the same seed gives the same calls. It reads no clock.
type Arrivals struct {
	c       *Config
	rng     *rand.Rand
	at      time.Duration
	classes []float64
	numbers []float64
	read    int // of the record
}

// NewArrivals makes the arrivals of a load.
func NewArrivals(c *Config) *Arrivals {
	a := &Arrivals{c: c, rng: rand.New(rand.NewPCG(c.Seed, 0))}
	for _, x := range c.Classes {
		a.classes = append(a.classes, x.Share)
	}
	for _, x := range c.Numbers {
		a.numbers = append(a.numbers, x.Share)
	}
	return a
}

func (a *Arrivals) pick(shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	x := a.rng.Float64() * sum
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// Next is the next call; ok is false at the end of the span.
func (a *Arrivals) Next() (next Arrival, ok bool) {
	if a.c.Process == "recorded" {
		return a.nextRecorded()
	}
	rate := a.c.Rate
	if b := a.c.Burst; b.Every > 0 && a.at%b.Every < b.For {
		rate *= b.Times
	}
	gap := 1 / rate
	if a.c.Process == "poisson" {
		gap *= a.rng.ExpFloat64()
	}
	a.at += time.Duration(gap * float64(time.Second))
	if a.at >= a.c.Span {
		return next, false
	}
	n := a.c.Numbers[a.pick(a.numbers)]
	called := slices.Grow([]byte(n.Prefix), n.Length)
	for len(called) < n.Length {
		called = append(called, byte('0'+a.rng.IntN(10)))
	}
	class := a.pick(a.classes)
	return Arrival{At: a.at, Class: class, Client: a.rng.IntN(a.c.Clients), Called: string(called),
		Hold: time.Duration(a.rng.ExpFloat64() * float64(a.c.Classes[class].Hold))}, true
}
