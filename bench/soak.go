package bench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/load"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// SoakOptions set the duration, load and faults of a soak test.
type SoakOptions struct {
	Span      time.Duration
	Every     time.Duration // interval between two samples
	Rate      float64       // calls a second
	Exchanges int
	Seed      uint64
	NoFaults  bool // inject no faults
	Program   string
}

// Sample holds figures of the controller's process at one time.
type Sample struct {
	At         time.Duration `json:"at"`
	Goroutines float64       `json:"goroutines"`
	HeapMiB    float64       `json:"heap_mib"` // heap spans in use (go_memstats_heap_inuse_bytes)
	RSSMiB     float64       `json:"rss_mib"`
	OpenCalls  float64       `json:"open_calls"`
	Queue      float64       `json:"event_queue"`
	Cores      float64       `json:"cores"`  // CPU cores used since the last sample
	Faults     int           `json:"faults"` // injected so far
}

// SoakResult is the result of a soak test.
type SoakResult struct {
	Samples []Sample    `json:"samples"`
	Load    load.Report `json:"load"`
	Faults  int         `json:"faults"`
}

// Soak runs a controller as a process of its own under continuous load, with emulated switches that hang, slow down, reset their
// associations, cut calls and restart, and samples the controller's process and metrics.
func Soak(ctx context.Context, options SoakOptions, progress io.Writer) (result SoakResult, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var dialer net.Dialer
	log := record.New()
	log.Discard()
	network := &emulator.Network{Log: log, Listen: func(a string) (net.Listener, error) { return net.Listen("tcp", a) },
		Dial: func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", a) }}
	var switches []*emulator.Switch
	defer func() {
		for _, s := range switches {
			s.Close()
		}
	}()
	cfg := config.Default()
	cfg.Exchange, cfg.Log.Level = ownPC, "error"
	cfg.Classes = []config.Class{{Name: "a", Aim: 1500 * time.Millisecond, Patience: 3 * time.Second, Worth: 1}}
	cfg.Timers.T1, cfg.Timers.T5, cfg.Timers.T16 = 4*time.Second, 20*time.Second, 4*time.Second
	for _, to := range []*string{&cfg.Listen, &cfg.Metrics} {
		if *to, err = freeAddr(); err != nil {
			return result, err
		}
	}
	circuits := map[uint32]int{}
	for i := range options.Exchanges {
		circuits[uint32(ownPC+i)] = 500
	}
	var addrs []string
	var numbers []load.Numbers
	for i := range options.Exchanges {
		pc := uint32(ownPC + i)
		prefix := fmt.Sprintf("82%02d", i)
		s := emulator.NewSwitch(network, emulator.SwitchConfig{PC: pc, Prefixes: []string{prefix}, Circuits: circuits, Seed: options.Seed + uint64(i),
			Rate: 2 * options.Rate / float64(options.Exchanges-1), FollowWork: 0.3, RejectWork: 0.1, FullAfter: 2 * time.Second, HangUp: 0.3, Hold: 2 * time.Second,
			ColdShare: 0.3, WarmUp: 15 * time.Second,
			Ringing: map[isup.Category]emulator.Ringing{10: {Median: time.Second, Spread: 0.5, NoAnswer: 0.02, Busy: 0.01}}})
		s.SetCallFault(emulator.CallFaultFull, 0.01)
		s.SetCallFault(emulator.CallFaultSilent, 0.01)
		switches = append(switches, s)
		a, err := s.Start("127.0.0.1:0", false)
		if err != nil {
			return result, err
		}
		addrs = append(addrs, a)
		x := config.Exchange{PointCode: pc, Switch: []string{a}, Prefixes: []string{prefix}}
		if i > 0 {
			x.Circuits = 500
			numbers = append(numbers, load.Numbers{Prefix: prefix, Length: 9, Share: 1})
		}
		cfg.Exchanges = append(cfg.Exchanges, x)
	}
	cmd, stop, err := startController(ctx, options.Program, &cfg, nil)
	if err != nil {
		return result, err
	}
	defer stop()
	time.Sleep(2 * time.Second)
	loadCfg := load.Default()
	loadCfg.Controller, loadCfg.Exchange, loadCfg.Clients, loadCfg.Rate, loadCfg.Span, loadCfg.Seed = cfg.Listen, ownPC, 4, options.Rate, options.Span, options.Seed
	loadCfg.Redials, loadCfg.Numbers = 1, numbers
	loadCfg.Classes = []load.Class{{Name: "a", Share: 1, Category: 10, Hold: 3 * time.Second, Patience: 3 * time.Second}}
	loadCfg.Burst = load.Burst{Every: 30 * time.Second, For: 5 * time.Second, Times: 1.8}
	var wg sync.WaitGroup
	defer wg.Wait()
	done := make(chan struct{})
	var loadErr error
	wg.Add(1)
	go func() {
		defer wg.Done()
		defer close(done)
		result.Load, loadErr = load.Run(ctx, &loadCfg, load.Options{})
	}()
	rng := rand.New(rand.NewPCG(options.Seed, 77))
	start, lastCPU := time.Now(), cpuTime(cmd.Process.Pid)
	fault := time.NewTicker(3 * time.Second)
	defer fault.Stop()
	sample := time.NewTicker(options.Every)
	defer sample.Stop()
	for {
		select {
		case <-done:
			return result, loadErr
		case <-ctx.Done():
			return result, ctx.Err()
		case <-fault.C:
			if options.NoFaults || time.Since(start) > options.Span-20*time.Second {
				continue // no faults in the last 20 s, so that what they leave behind shows in the samples
			}
			result.Faults++
			i := rng.IntN(len(switches))
			s, pc := switches[i], uint32(ownPC+i)
			span := time.Duration(1+rng.IntN(3)) * time.Second
			later := func(f func()) { time.AfterFunc(span, f) }
			switch rng.IntN(5) {
			case 0:
				s.ResetAssociations()
			case 1:
				s.Hang(true)
				later(func() { s.Hang(false) })
			case 2:
				s.Slow(3)
				later(func() { s.Slow(1) })
			case 3:
				s.CutCalls(0.5)
			case 4:
				s.Stop()
				switches[0].SendStatus(m3ua.DUNA, pc)
				later(func() {
					for range 50 {
						if _, err := s.Start(addrs[i], true); err == nil {
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
					switches[0].SendStatus(m3ua.DAVA, pc)
				})
			}
		case <-sample.C:
			metricValues, err := scrape("http://" + cfg.Metrics + "/metrics")
			if err != nil {
				return result, fmt.Errorf("soak: cannot read the controller's metrics: %w", err)
			}
			cpu := cpuTime(cmd.Process.Pid)
			used := (cpu - lastCPU).Seconds() / options.Every.Seconds()
			lastCPU = cpu
			x := Sample{Cores: used, At: time.Since(start).Round(time.Second), Goroutines: metricValues["go_goroutines"], HeapMiB: metricValues["go_memstats_heap_inuse_bytes"] / (1 << 20),
				RSSMiB: rssMiB(cmd.Process.Pid), OpenCalls: metricValues["umbergauge_open_calls"], Queue: metricValues["umbergauge_event_queue"], Faults: result.Faults}
			result.Samples = append(result.Samples, x)
			if progress != nil {
				fmt.Fprintf(progress, "%6v  goroutines %4.0f  heap %6.1f MiB  RSS %6.1f MiB  open calls %5.0f  cores %.2f  faults %d\n", x.At, x.Goroutines, x.HeapMiB, x.RSSMiB, x.OpenCalls, x.Cores, x.Faults)
			}
		}
	}
}

// scrape reads the metrics that have no labels.
func scrape(url string) (map[string]float64, error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	values := map[string]float64{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = number
		}
	}
	return values, scanner.Err()
}
