// Command standin plays the platform, the name service, the switches and the callers for the cases of this folder. It starts the
// call controller by the run line of the deploy file and judges the rule of the case from the messages that it sent and read.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/umbergauge/umbergauge/platform/discovery"
)

// world is one small deployment: one call controller, of exchange 0, and what it talks to.
type world struct {
	trouble bool
	start   time.Time
	dir     string
	record  *bufio.Writer
	mu      sync.Mutex // of record and of the call table

	switches   []*sw
	ns         *net.UDPConn
	nsDelay    time.Duration // until a query is answered
	toldSerial uint32        // the last event of which an answer was sent
	toldAt     time.Time     // when the first such answer was sent
	listen     string
	configFile string
	list       discovery.List
	controller *process
	settings   map[string]any
	calls      map[string]*callRecord
	nextCall   int
}

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// fatal ends the run with exit code 2: the case could not run.
type fatal struct{ text string }

func cannotRun(format string, args ...any) { panic(fatal{fmt.Sprintf(format, args...)}) }

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

func newWorld(out string) *world {
	f, err := os.Create(filepath.Join(out, "record.txt"))
	must(err)
	w := &world{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: bufio.NewWriter(f), calls: map[string]*callRecord{}}
	w.dir, err = os.MkdirTemp("", "review")
	must(err)
	w.settings = map[string]any{
		"service_type": "trunks", "stages": []string{"exchanges"}, "tier": 0, "discovery": "push", "replicas_of_me": 7, "position": 0, "tick": 5.0,
		"zones": []string{"north", "middle", "south"}, "zone": 0, "host_types": []string{"std"}, "accounts": []any{}, "value_by": "request", "weights": "off",
		"over_share_worth": 0.1,
		"family_info": map[string]any{"shape": "mesh", "self_no": 0, "guard": 200.0, "repeat": 400.0, "class_width": []float64{1, 1},
			"mean_hold": []float64{12000, 6000}, "far_reports": "off", "advice": false, "retry_hint": false, "pools_by_class": []any{}},
		"feedback": map[string]any{"fields": []string{"free", "size"}, "how": "on_probe"},
		"callers":  map[string]any{"marks_retry": false},
		"limits": map[string]any{"cancel": true, "connect_timeout": 500.0, "keepalive": 600000.0, "max_attempts": 4, "max_retry_after": 2000.0,
			"open_cap": 20000, "peer_messages": false, "probes": true, "retry_after": true, "second_copies": false, "streams_per_conn": 1048576},
		"obligations": map[string]any{"answer_slack": 20.0, "ask_within": 10000.0, "cold_share": 0.37, "drain_grace": 1000.0, "fall_multiple": 2.0,
			"overload_for": 3000.0, "warm_up": 15000.0},
		"request_classes": []any{
			map[string]any{"name": "voice", "aim": 1500.0, "give_up": 9000.0, "credit": 1.0, "late_worth": 0.25, "idempotency": "read_like", "group": "all",
				"repeat_window": 5000.0, "stream": true},
			map[string]any{"name": "urgent", "aim": 1200.0, "give_up": 6000.0, "credit": 5.0, "late_worth": 0.25, "idempotency": "read_like", "group": "all",
				"repeat_window": 5000.0, "stream": true}},
	}
	return w
}

// logf writes one line to the record, with the milliseconds since the start.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%9.1f  %s\n", float64(time.Since(w.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// addSwitches starts the own switch and n far ones.
func (w *world) addSwitches(n int) {
	for i := 0; i <= n; i++ {
		s := newSwitch(w, fmt.Sprintf("s-%08x", 0xa100+i), i)
		w.switches = append(w.switches, s)
		w.list.Switches = append(w.list.Switches, discovery.Switch{ID: s.id, Zone: []string{"north", "middle", "south"}[i%3], Address: s.address, PointCode: i, State: discovery.Ready})
	}
	w.list.Serial, w.list.Full = 1, true
}

// serveNames answers the queries of the controller with the list.
func (w *world) serveNames() {
	var err error
	w.ns, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(err)
	go func() {
		buf := make([]byte, 4096)
		for {
			n, from, err := w.ns.ReadFromUDP(buf)
			if err != nil {
				return
			}
			if n < 12 {
				continue
			}
			id := uint16(buf[0])<<8 | uint16(buf[1])
			w.mu.Lock()
			delay := w.nsDelay
			w.mu.Unlock()
			answer := func() { // it holds what has happened until it is sent
				w.mu.Lock()
				defer w.mu.Unlock()
				b, err := discovery.BuildAnswer(id, &w.list)
				if err != nil {
					return
				}
				w.ns.WriteToUDP(b, from)
				if w.list.Serial > w.toldSerial {
					w.toldSerial, w.toldAt = w.list.Serial, time.Now()
					w.logLocked("name service: the first answer that holds event %d is sent, %.0f ms after its query", w.list.Serial, float64(delay)/1e6)
				}
			}
			if delay == 0 {
				answer()
			} else {
				time.AfterFunc(delay, answer)
			}
		}
	}()
}

// startController writes the settings and starts the run line of the deploy file; it returns when a test has passed.
func (w *world) startController() {
	if w.listen == "" {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		must(err)
		w.listen = l.Addr().String()
		l.Close()
	}
	var endpoints []any
	status := map[discovery.State]string{discovery.Ready: "Ready", discovery.Draining: "Terminating", discovery.Removed: "Gone"}
	for _, s := range w.list.Switches {
		endpoints = append(endpoints, map[string]any{"name": s.ID, "address": s.Address, "zone": s.Zone, "type": "std", "group": s.PointCode,
			"status": status[s.State], "weight": 4, "since_ms": s.Started})
	}
	config := map[string]any{"name": "n0", "listen": w.listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":     map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"nameserver": w.ns.LocalAddr().String(), "settings": w.settings,
		"known": map[string]any{"cursor": w.list.Serial, "cmds": []any{map[string]any{"cursor": w.list.Serial,
			"nodes": map[string]any{"index": w.list.Serial, "snapshot": true, "endpoints": endpoints}}}}}
	b, err := json.MarshalIndent(config, "", " ")
	must(err)
	w.configFile = filepath.Join(w.dir, "config.json")
	must(os.WriteFile(w.configFile, b, 0o600))
	deploy, err := os.ReadFile("deploy/balancer.toml")
	must(err)
	line := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindStringSubmatch(string(deploy))
	if line == nil {
		cannotRun("deploy/balancer.toml has no run line")
	}
	logFile, err := os.Create(filepath.Join(w.dir, "controller.log"))
	must(err)
	cmd := exec.Command("/bin/sh", "-c", line[1])
	cmd.Env = append(os.Environ(), "GW_NAME=n0", "GW_LISTEN="+w.listen, "GW_CONFIG="+w.configFile, "TMPDIR="+w.dir)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() { cmd.Wait(); close(p.done) }()
	w.controller = p
	w.logf("controller started: %s", line[1])
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			cannotRun("the controller was not ready within 10 s")
		}
		if p.ended() {
			cannotRun("the controller ended before it was ready: %v", cmd.ProcessState)
		}
		c, err := net.Dial("tcp4", w.listen)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, `{"op":"test","call":"0000000000000001","with":{},"why":0}`+"\n")
		answer, err := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if err == nil && strings.Contains(answer, `"tested"`) {
			w.logf("controller ready: %s", strings.TrimSpace(answer))
			return
		}
	}
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// close ends everything that was started.
func (w *world) close() {
	if p := w.controller; p != nil && !p.ended() {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	if w.ns != nil {
		w.ns.Close()
	}
	for _, s := range w.switches {
		s.listener.Close()
	}
	if b, err := os.ReadFile(filepath.Join(w.dir, "controller.log")); err == nil {
		w.logf("log of the controller:")
		for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
			fmt.Fprintln(w.record, "    "+line)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Flush()
	os.RemoveAll(w.dir)
}
