// Package switchset runs stand-in switches from a file, so that a controller can be tried without a network around it.
package switchset

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/record"
)

// Config is one or more switches. docs/operations/switch.md explains each key.
type Config struct {
	Seed     uint64        `yaml:"seed"`
	Delay    time.Duration `yaml:"delay"` // one way, between every controller and every switch but its own
	Switches []Switch      `yaml:"switches"`
	Ringing  []Class       `yaml:"ringing"`
}

// Switch is one switch.
type Switch struct {
	PointCode uint32         `yaml:"point_code"`
	Listen    string         `yaml:"listen"`
	Prefixes  []string       `yaml:"prefixes"`
	Circuits  map[uint32]int `yaml:"circuits"` // trunk groups by far exchange
	Cold      bool           `yaml:"cold"`

	Rate         float64       `yaml:"rate"` // set-ups a second; 0: any number
	FullAfter    time.Duration `yaml:"full_after"`
	FollowWork   float64       `yaml:"follow_work"`
	RejectWork   float64       `yaml:"reject_work"`
	AnswersFirst bool          `yaml:"answers_first"`
	EarlyACM     bool          `yaml:"early_acm"`
	HangUp       float64       `yaml:"hang_up"`
	Hold         time.Duration `yaml:"hold"`
	CallFaults   CallFaults    `yaml:"thin"`
}

// CallFaults are shares of set-ups that meet a fault though the switch is well.
type CallFaults struct {
	Full   float64 `yaml:"full"`
	Silent float64 `yaml:"silent"`
	Reset  float64 `yaml:"reset"`
	Failed float64 `yaml:"failed"`
}

// Class is how the numbers that callers of a category dial take calls.
type Class struct {
	Category         int `yaml:"category"`
	emulator.Ringing `yaml:",inline"`
}

// Default has the values of keys that a file may leave out.
func Default() Config { return Config{Seed: 1} }

// Load reads and checks a file. The error is config.FileErrors, or that of reading the file.
func Load(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, b)
}

// Parse reads and checks a file's content; name stands in its errors.
func Parse(name string, b []byte) (*Config, error) {
	c := Default()
	if err := config.Decode(name, b, &c); err != nil {
		return nil, err
	}
	v := config.NewChecker(name, b)
	v.Must(c.Delay >= 0 && c.Delay <= 10*time.Second, "delay", "%v; 0 to 10s can be", c.Delay)
	v.Must(len(c.Switches) > 0, "switches", "is missing: there is none")
	seen := map[uint32]bool{}
	for i, x := range c.Switches {
		key := func(k string) string { return fmt.Sprintf("switches[%d].%s", i, k) }
		v.Must(x.PointCode > 0 && x.PointCode <= 1<<14-1 && !seen[x.PointCode], key("point_code"), "%d is missing, given twice or above 16383", x.PointCode)
		seen[x.PointCode] = true
		v.Address(key("listen"), x.Listen)
		for far, n := range x.Circuits {
			v.Must(n >= 0 && n <= isup.MaxCIC && far != x.PointCode, key("circuits"), "%d circuits to exchange %d; 0 to %d to another can be", n, far, isup.MaxCIC)
		}
		v.Must(x.Rate >= 0 && x.Rate <= 1e6, key("rate"), "%v; 0 to a million can be", x.Rate)
		v.Must(x.FullAfter >= 0 && x.Hold >= 0, key("full_after"), "a negative time")
		for _, p := range []struct {
			key string
			v   float64
		}{{"follow_work", x.FollowWork}, {"reject_work", x.RejectWork}} {
			v.Must(p.v >= 0 && p.v <= 10, key(p.key), "%v; 0 to 10 can be", p.v)
		}
		sum := 0.0
		for _, p := range []struct {
			key string
			v   float64
		}{{"hang_up", x.HangUp}, {"thin.full", x.CallFaults.Full}, {"thin.silent", x.CallFaults.Silent}, {"thin.reset", x.CallFaults.Reset}, {"thin.failed", x.CallFaults.Failed}} {
			v.Must(p.v >= 0 && p.v <= 1, key(p.key), "%v; 0 to 1 can be", p.v)
			sum += p.v
		}
		v.Must(sum-x.HangUp <= 1, key("thin"), "the shares add up to %.2f", sum-x.HangUp)
	}
	for i, r := range c.Ringing {
		key := fmt.Sprintf("ringing[%d]", i)
		v.Must(r.Category >= 0 && r.Category < 256, key+".category", "%d is no calling party's category", r.Category)
		if err := r.Check(); err != nil {
			v.Errorf(key, "%v", err)
		}
	}
	return &c, v.Err()
}

// Set is a running set of switches.
type Set struct {
	Addrs    map[uint32]string // where each listens
	Switches map[uint32]*emulator.Switch
}

// Start starts the switches. On an error none runs.
func Start(c *Config) (*Set, error) {
	log := record.New()
	log.Discard()
	var nd net.Dialer
	sn := &emulator.Network{Log: log, Listen: func(a string) (net.Listener, error) { return net.Listen("tcp", a) },
		Dial: func(ctx context.Context, a string) (net.Conn, error) { return nd.DialContext(ctx, "tcp", a) }}
	sn.SetDelay(func(a, b uint32) time.Duration {
		if a == b {
			return 0
		}
		return c.Delay
	})
	ringing := map[isup.Category]emulator.Ringing{}
	for _, r := range c.Ringing {
		ringing[isup.Category(r.Category)] = r.Ringing
	}
	s := &Set{Addrs: map[uint32]string{}, Switches: map[uint32]*emulator.Switch{}}
	for i, x := range c.Switches {
		sw := emulator.NewSwitch(sn, emulator.SwitchConfig{PC: x.PointCode, Prefixes: x.Prefixes, Circuits: x.Circuits, Seed: c.Seed + uint64(i),
			Rate: x.Rate, FollowWork: x.FollowWork, RejectWork: x.RejectWork, FullAfter: x.FullAfter, AnswersFirst: x.AnswersFirst,
			EarlyACM: x.EarlyACM, HangUp: x.HangUp, Hold: x.Hold, Ringing: ringing, ColdShare: 0.3, WarmUp: 15 * time.Second})
		s.Switches[x.PointCode] = sw
		addr, err := sw.Start(x.Listen, x.Cold)
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("switch %d: %w", x.PointCode, err)
		}
		s.Addrs[x.PointCode] = addr
		for kind, share := range map[emulator.CallFault]float64{emulator.CallFaultFull: x.CallFaults.Full, emulator.CallFaultSilent: x.CallFaults.Silent,
			emulator.CallFaultReset: x.CallFaults.Reset, emulator.CallFaultReleased: x.CallFaults.Failed} {
			sw.SetCallFault(kind, share)
		}
	}
	return s, nil
}

// Established are the calls that stand at each switch, by point code in order.
func (s *Set) Established() (pcs []uint32, n []int) {
	for pc := range s.Switches {
		pcs = append(pcs, pc)
	}
	slices.Sort(pcs)
	for _, pc := range pcs {
		n = append(n, s.Switches[pc].Established())
	}
	return pcs, n
}

// Close ends all switches.
func (s *Set) Close() {
	for _, sw := range s.Switches {
		sw.Close()
	}
}
