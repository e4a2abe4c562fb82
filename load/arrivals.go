// Package load is a load generator: it offers calls to a running controller and measures their outcomes. The load is
// an open loop: each call is made when it is due, whatever the outcome of earlier ones, and its set-up time counts from when it was
// due. Calls that fall due while the controller is stalled are therefore measured too (no coordinated omission).
package load

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/internal/config"
)

// Config configures one load, from YAML. docs/operations/load.md explains each key.
type Config struct {
	Controller string        `yaml:"controller"` // address of the controller's listener
	PointCode  uint32        `yaml:"point_code"` // of the first client; each further client has the next one
	Exchange   uint32        `yaml:"exchange"`   // point code of the controller's exchange
	Clients    int           `yaml:"clients"`    // number of clients, with one connection each
	Seed       uint64        `yaml:"seed"`
	Span       time.Duration `yaml:"span"`
	Rate       float64       `yaml:"rate"` // calls a second, all clients together
	Process    string        `yaml:"process"`
	Record     string        `yaml:"record"` // CSV file of recorded calls, relative to the load's file
	Burst      Burst         `yaml:"burst"`
	Classes    []Class       `yaml:"classes"`
	Numbers    []Numbers     `yaml:"numbers"`
	Redials    int           `yaml:"redials"`
	Redial     time.Duration `yaml:"redial_after"`

	recorded    []Arrival
	part, parts int // this process offers every parts-th recorded call, starting at index part
}

// Burst multiplies the rate by Times for a duration at regular intervals.
type Burst struct {
	Every time.Duration `yaml:"every"`
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
}

// Class describes one class of calls.
type Class struct {
	Name     string        `yaml:"name"`
	Share    float64       `yaml:"share"`
	Category int           `yaml:"category"`
	Hold     time.Duration `yaml:"hold"`     // mean time from answer to release by the caller
	Patience time.Duration `yaml:"patience"` // an attempt neither alerted nor answered within this is abandoned
	Ring     time.Duration `yaml:"ring"`     // an alerted call not answered within this is abandoned; 0: a minute
}

// Numbers describes called numbers: a prefix, filled up to the length with random digits.
type Numbers struct {
	Prefix string  `yaml:"prefix"`
	Length int     `yaml:"length"`
	Share  float64 `yaml:"share"`
}

// Default returns the values of the keys that a file may leave out.
func Default() Config {
	return Config{PointCode: 9000, Clients: 1, Seed: 1, Span: 10 * time.Second, Rate: 10, Process: "poisson", Redial: time.Second,
		Classes: []Class{{"ordinary", 1, 10, 5 * time.Second, 3 * time.Second, time.Minute}}}
}

// Load reads and checks a file. The error is of type config.FileErrors, or that of reading a file.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	cfg, err := Parse(path, data)
	if err == nil && cfg.Record != "" {
		err = cfg.openRecord(path)
	}
	return cfg, err
}

// Parse parses and checks the content of a file; its errors show name as the file.
func Parse(name string, data []byte) (*Config, error) {
	cfg := Default()
	if err := config.Decode(name, data, &cfg); err != nil {
		return nil, err
	}
	checker := config.NewChecker(name, data)
	checker.Must(cfg.Controller != "", "controller", "is missing: the address of the controller's listener")
	checker.Must(cfg.Exchange > 0, "exchange", "is missing: the point code of the controller's exchange")
	checker.Must(cfg.PointCode > 0 && cfg.PointCode+uint32(max(0, cfg.Clients)) < 1<<14, "point_code", "%d is not in the range of 1 to 16382, or the last of the point codes of %d clients is not", cfg.PointCode, cfg.Clients)
	checker.Must(cfg.Clients >= 1 && cfg.Clients <= 4096, "clients", "%d is not in the range of 1 to 4096", cfg.Clients)
	checker.Must(cfg.Span > 0 && cfg.Span <= 24*time.Hour, "span", "%v is not above 0 and at most 24h", cfg.Span)
	checker.Must(cfg.Rate > 0 && cfg.Rate <= 1e6, "rate", "%v is not above 0 and at most 1000000", cfg.Rate)
	checker.Must(cfg.Process == "poisson" || cfg.Process == "uniform" || cfg.Process == "recorded", "process", "%q is not poisson, uniform or recorded", cfg.Process)
	checker.Must((cfg.Process == "recorded") == (cfg.Record != ""), "record", "must be set if process is recorded, and only then")
	checker.Must(cfg.Burst.Every == 0 || cfg.Burst.Every > 0 && cfg.Burst.For > 0 && cfg.Burst.For <= cfg.Burst.Every && cfg.Burst.Times > 0, "burst", "every, for and times must be set together, and for must not exceed every")
	checker.Must(len(cfg.Classes) > 0 && len(cfg.Classes) < 100, "classes", "%d classes: the number is not in the range of 1 to 99", len(cfg.Classes))
	for i, x := range cfg.Classes {
		key := func(k string) string { return fmt.Sprintf("classes[%d].%s", i, k) }
		checker.Must(x.Share > 0, key("share"), "%v is not above 0", x.Share)
		checker.Must(x.Category >= 0 && x.Category < 256, key("category"), "%d is not a calling party's category (0 to 255)", x.Category)
		checker.Must(x.Hold > 0, key("hold"), "%v is not above 0", x.Hold)
		checker.Must(x.Patience > 0, key("patience"), "%v is not above 0", x.Patience)
		checker.Must(x.Ring >= 0 && x.Ring <= 10*time.Minute, key("ring"), "%v is not in the range of 0 to 10m", x.Ring)
		if x.Ring == 0 {
			cfg.Classes[i].Ring = time.Minute
		}
	}
	checker.Must(len(cfg.Numbers) > 0 || cfg.Record != "", "numbers", "is missing: at least one entry of called numbers is needed")
	for i, x := range cfg.Numbers {
		key := fmt.Sprintf("numbers[%d]", i)
		checker.Must(x.Share > 0, key+".share", "%v is not above 0", x.Share)
		checker.Must(x.Length >= len(x.Prefix) && x.Length >= 1 && x.Length <= 24, key+".length", "%d is not in the range of 1 to 24, or is less than the %d digits of the prefix", x.Length, len(x.Prefix))
	}
	checker.Must(cfg.Redials >= 0 && cfg.Redials <= 20, "redials", "%d is not in the range of 0 to 20", cfg.Redials)
	return &cfg, checker.Err()
}

// Arrival is one call to offer, at a time from the start of the load.
type Arrival struct {
	At     time.Duration
	Class  int
	Client int
	Called string
	Hold   time.Duration
}

// Arrivals generates the calls of a load in order; the same seed gives the same calls. It reads no clock.
type Arrivals struct {
	cfg          *Config
	rng          *rand.Rand
	at           time.Duration
	classShares  []float64
	numberShares []float64
	nextRow      int // index of the next recorded call
}

// NewArrivals creates the generator of the calls of a load.
func NewArrivals(cfg *Config) *Arrivals {
	a := &Arrivals{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	for _, x := range cfg.Classes {
		a.classShares = append(a.classShares, x.Share)
	}
	for _, x := range cfg.Numbers {
		a.numberShares = append(a.numberShares, x.Share)
	}
	return a
}

// pick draws an index with probabilities proportional to the shares.
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

// Next returns the next call; ok is false at the end of the span.
func (a *Arrivals) Next() (next Arrival, ok bool) {
	if a.cfg.Process == "recorded" {
		return a.nextRecorded()
	}
	rate := a.cfg.Rate
	if burst := a.cfg.Burst; burst.Every > 0 && a.at%burst.Every < burst.For {
		rate *= burst.Times
	}
	gap := 1 / rate
	if a.cfg.Process == "poisson" {
		gap *= a.rng.ExpFloat64()
	}
	a.at += time.Duration(gap * float64(time.Second))
	if a.at >= a.cfg.Span {
		return next, false
	}
	numbers := a.cfg.Numbers[a.pick(a.numberShares)]
	called := slices.Grow([]byte(numbers.Prefix), numbers.Length)
	for len(called) < numbers.Length {
		called = append(called, byte('0'+a.rng.IntN(10)))
	}
	class := a.pick(a.classShares)
	return Arrival{At: a.at, Class: class, Client: a.rng.IntN(a.cfg.Clients), Called: string(called),
		Hold: time.Duration(a.rng.ExpFloat64() * float64(a.cfg.Classes[class].Hold))}, true
}
