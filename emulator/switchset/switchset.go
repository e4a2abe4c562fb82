// Package switchset runs emulated switches that a YAML file configures, so that a controller can be tried without real switches.
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

// Config configures one or more switches. docs/operations/switch.md explains each key.
type Config struct {
	Seed     uint64        `yaml:"seed"`
	Delay    time.Duration `yaml:"delay"` // one-way delay between a controller and every switch but its own
	Switches []Switch      `yaml:"switches"`
	Ringing  []Class       `yaml:"ringing"`
}

// Switch configures one switch.
type Switch struct {
	PointCode uint32         `yaml:"point_code"`
	Listen    string         `yaml:"listen"`
	Prefixes  []string       `yaml:"prefixes"`
	Circuits  map[uint32]int `yaml:"circuits"` // circuits of each trunk group, by far exchange
	Cold      bool           `yaml:"cold"`

	Rate         float64       `yaml:"rate"` // set-ups a second; 0: unlimited
	FullAfter    time.Duration `yaml:"full_after"`
	FollowWork   float64       `yaml:"follow_work"`
	RejectWork   float64       `yaml:"reject_work"`
	AnswersFirst bool          `yaml:"answers_first"`
	EarlyACM     bool          `yaml:"early_acm"`
	HangUp       float64       `yaml:"hang_up"`
	Hold         time.Duration `yaml:"hold"`
	CallFaults   CallFaults    `yaml:"thin"`
}

// CallFaults are the shares of set-ups that fail with each kind of call fault.
type CallFaults struct {
	Full   float64 `yaml:"full"`
	Silent float64 `yaml:"silent"`
	Reset  float64 `yaml:"reset"`
	Failed float64 `yaml:"failed"`
}

// Class describes how called numbers respond to calls of one calling party's category.
type Class struct {
	Category         int `yaml:"category"`
	emulator.Ringing `yaml:",inline"`
}

// Default returns the values of the keys that a file may leave out.
func Default() Config { return Config{Seed: 1} }

// Load reads and checks a file. The error is of type config.FileErrors, or that of reading the file.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse parses and checks the content of a file; its errors show name as the file.
func Parse(name string, data []byte) (*Config, error) {
	cfg := Default()
	if err := config.Decode(name, data, &cfg); err != nil {
		return nil, err
	}
	checker := config.NewChecker(name, data)
	checker.Must(cfg.Delay >= 0 && cfg.Delay <= 10*time.Second, "delay", "%v is not in the range of 0 to 10s", cfg.Delay)
	checker.Must(len(cfg.Switches) > 0, "switches", "is missing: at least one switch is needed")
	seen := map[uint32]bool{}
	for i, sw := range cfg.Switches {
		key := func(k string) string { return fmt.Sprintf("switches[%d].%s", i, k) }
		checker.Must(sw.PointCode > 0 && sw.PointCode <= 1<<14-1 && !seen[sw.PointCode], key("point_code"), "%d is not in the range of 1 to 16383, or is given twice", sw.PointCode)
		seen[sw.PointCode] = true
		checker.Address(key("listen"), sw.Listen)
		for far, n := range sw.Circuits {
			checker.Must(n >= 0 && n <= isup.MaxCIC && far != sw.PointCode, key("circuits"), "%d circuits to exchange %d: the number is not in the range of 0 to %d, or the exchange is that of this switch", n, far, isup.MaxCIC)
		}
		checker.Must(sw.Rate >= 0 && sw.Rate <= 1e6, key("rate"), "%v is not in the range of 0 to 1000000", sw.Rate)
		checker.Must(sw.FullAfter >= 0 && sw.Hold >= 0, key("full_after"), "full_after and hold must not be negative")
		for _, setting := range []struct {
			key   string
			value float64
		}{{"follow_work", sw.FollowWork}, {"reject_work", sw.RejectWork}} {
			checker.Must(setting.value >= 0 && setting.value <= 10, key(setting.key), "%v is not in the range of 0 to 10", setting.value)
		}
		sum := 0.0
		for _, setting := range []struct {
			key   string
			value float64
		}{{"hang_up", sw.HangUp}, {"thin.full", sw.CallFaults.Full}, {"thin.silent", sw.CallFaults.Silent}, {"thin.reset", sw.CallFaults.Reset}, {"thin.failed", sw.CallFaults.Failed}} {
			checker.Must(setting.value >= 0 && setting.value <= 1, key(setting.key), "%v is not in the range of 0 to 1", setting.value)
			sum += setting.value
		}
		checker.Must(sum-sw.HangUp <= 1, key("thin"), "the shares add up to %.2f, more than 1", sum-sw.HangUp)
	}
	for i, r := range cfg.Ringing {
		key := fmt.Sprintf("ringing[%d]", i)
		checker.Must(r.Category >= 0 && r.Category < 256, key+".category", "%d is not a calling party's category (0 to 255)", r.Category)
		if err := r.Check(); err != nil {
			checker.Errorf(key, "%v", err)
		}
	}
	return &cfg, checker.Err()
}

// Set is a running set of switches.
type Set struct {
	Addrs    map[uint32]string // listening address of each switch, by point code
	Switches map[uint32]*emulator.Switch
}

// Start starts the switches. If it returns an error, none is left running.
func Start(cfg *Config) (*Set, error) {
	log := record.New()
	log.Discard()
	var dialer net.Dialer
	network := &emulator.Network{Log: log, Listen: func(a string) (net.Listener, error) { return net.Listen("tcp", a) },
		Dial: func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", a) }}
	network.SetDelay(func(a, b uint32) time.Duration {
		if a == b {
			return 0
		}
		return cfg.Delay
	})
	ringing := map[isup.Category]emulator.Ringing{}
	for _, class := range cfg.Ringing {
		ringing[isup.Category(class.Category)] = class.Ringing
	}
	s := &Set{Addrs: map[uint32]string{}, Switches: map[uint32]*emulator.Switch{}}
	for i, swCfg := range cfg.Switches {
		sw := emulator.NewSwitch(network, emulator.SwitchConfig{PC: swCfg.PointCode, Prefixes: swCfg.Prefixes, Circuits: swCfg.Circuits, Seed: cfg.Seed + uint64(i),
			Rate: swCfg.Rate, FollowWork: swCfg.FollowWork, RejectWork: swCfg.RejectWork, FullAfter: swCfg.FullAfter, AnswersFirst: swCfg.AnswersFirst,
			EarlyACM: swCfg.EarlyACM, HangUp: swCfg.HangUp, Hold: swCfg.Hold, Ringing: ringing, ColdShare: 0.3, WarmUp: 15 * time.Second})
		s.Switches[swCfg.PointCode] = sw
		addr, err := sw.Start(swCfg.Listen, swCfg.Cold)
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("switch %d: %w", swCfg.PointCode, err)
		}
		s.Addrs[swCfg.PointCode] = addr
		for kind, share := range map[emulator.CallFault]float64{emulator.CallFaultFull: swCfg.CallFaults.Full, emulator.CallFaultSilent: swCfg.CallFaults.Silent,
			emulator.CallFaultReset: swCfg.CallFaults.Reset, emulator.CallFaultReleased: swCfg.CallFaults.Failed} {
			sw.SetCallFault(kind, share)
		}
	}
	return s, nil
}

// Established returns the point codes of the switches in ascending order and the number of established calls at each.
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

// Close stops all switches.
func (s *Set) Close() {
	for _, sw := range s.Switches {
		sw.Close()
	}
}
