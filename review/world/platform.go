package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/umbergauge/umbergauge/platform/discovery"
)

// names is a stand-in of the name service.
type names struct {
	w      *world
	conn   net.PacketConn
	list   discovery.List
	silent bool
	toldAt map[string]time.Time // when an answer was sent that says that a switch drains or is gone, or when that counts as told
	known  map[string]bool      // switches of any list
}

func newNames(w *world) (*names, error) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &names{w: w, conn: conn, toldAt: map[string]time.Time{}, known: map[string]bool{}}
	n.list = discovery.List{Serial: 0, Full: true}
	go n.serve()
	return n, nil
}

// set replaces the list; w.mu is held.
func (n *names) set(switches []discovery.Switch) {
	n.list.Serial++
	n.list.Switches = switches
	for _, s := range switches {
		n.known[s.ID] = true
	}
	n.w.log("name service: list %d has %v", n.list.Serial, switches)
}

func (n *names) serve() {
	buf := make([]byte, 512)
	for {
		k, from, err := n.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		if k < 12 {
			continue
		}
		n.answer(uint16(buf[0])<<8|uint16(buf[1]), from)
	}
}

// answer sends the present list.
func (n *names) answer(id uint16, to net.Addr) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.silent {
		return
	}
	list := n.list
	b, err := discovery.BuildAnswer(id, &list)
	if err != nil {
		return
	}
	n.conn.WriteTo(b, to)
	for id := range n.known {
		i := slices.IndexFunc(list.Switches, func(s discovery.Switch) bool { return s.ID == id })
		if (i < 0 || list.Switches[i].State != discovery.Ready) && n.toldAt[id].IsZero() {
			n.toldAt[id] = time.Now()
			n.w.log("name service: an answer is sent that says that %s drains or is gone", id)
		}
	}
}

// told returns when the controller was told that a switch drains or is gone, or when that counts as told; w.mu is held.
func (n *names) told(id string) time.Time { return n.toldAt[id] }

// silence makes the name service silent. What it would have told soon afterwards counts as told 4.5 s after that; w.mu is held.
func (n *names) silence(drains string) {
	n.w.log("name service: silent")
	n.silent = true
	if drains != "" {
		n.toldAt[drains] = time.Now().Add(countsAsTold)
	}
}

// listOf returns list entries for switches; w.mu is held.
func listOf(boards ...*switchboard) (l []discovery.Switch) {
	for _, s := range boards {
		l = append(l, discovery.Switch{ID: s.id, Zone: "seoul", Address: s.addr, PointCode: s.cell, Started: s.started})
	}
	return l
}

// controller is the call controller under test, started as the platform starts it.
type controller struct {
	w      *world
	cmd    *exec.Cmd
	addr   string
	config string
	done   chan struct{}
	killed bool

	settings string
}

// settings are those of a small deployment with the figures of the pages.
const settings = `{"accounts":[],"callers":{"marks_retry":false},"discovery":"push",
"family_info":{"advice":false,"class_width":[1,1],"far_reports":"off","guard":200.0,"mean_hold":[11700.0,5800.0],"pools_by_class":[],"repeat":400.0,"retry_hint":false,"self_no":0,"shape":"mesh"},
"feedback":{"fields":["free","size"],"how":"on_probe"},"host_types":["basic-1core"],
"limits":{"cancel":true,"connect_timeout":500.0,"keepalive":600000.0,"max_attempts":4,"max_retry_after":2000.0,"open_cap":20000,"peer_messages":false,"probes":true,"retry_after":true,"second_copies":false,"streams_per_conn":1048576},
"objective_mix":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.2},
"obligations":{"answer_slack":20.0,"ask_within":10000.0,"cold_share":0.37,"drain_grace":1000.0,"fall_multiple":2.0,"overload_for":3000.0,"warm_up":15000.0},
"over_share_worth":0.1,"position":0,"replicas_of_me":4,
"request_classes":[{"aim":1500.0,"credit":1.0,"give_up":9000.0,"group":"all","idempotency":"read_like","late_worth":0.25,"name":"map-tile","stream":true},
{"aim":1200.0,"credit":5.0,"give_up":6000.0,"group":"all","idempotency":"read_like","late_worth":0.25,"name":"storm-tile","stream":true}],
"service_type":"trunks","stages":["tile-servers"],"tick":5.0,"tier":0,"value_by":"request","weights":"off","zone":0,"zones":["seoul","daejeon","busan"]}`

// writeConfig writes the configuration with the present list; w.mu is held.
func (c *controller) writeConfig() error {
	type endpoint struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Type    string `json:"type"`
		Group   int    `json:"group"`
		Status  string `json:"status"`
		Weight  int    `json:"weight"`
		Since   int64  `json:"since_ms"`
	}
	var endpoints []endpoint
	for _, s := range c.w.names.list.Switches {
		endpoints = append(endpoints, endpoint{s.ID, s.Address, s.Zone, "std", s.PointCode, []string{"Ready", "Terminating", "Gone"}[s.State], 4, s.Started})
	}
	serial := c.w.names.list.Serial
	event := map[string]any{"cursor": serial, "nodes": map[string]any{"index": serial, "snapshot": true, "endpoints": endpoints}}
	b, err := json.Marshal(map[string]any{"name": "n1", "listen": c.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512}, "nameserver": c.w.names.conn.LocalAddr().String(),
		"known": map[string]any{"cursor": serial, "cmds": []any{event}}, "settings": json.RawMessage(c.settings)})
	if err != nil {
		return err
	}
	return os.WriteFile(c.config, b, 0o644)
}

// start starts the controller with the command of the deploy file and waits until it passes a test.
func (c *controller) start() error {
	c.w.mu.Lock()
	err := c.writeConfig()
	c.w.mu.Unlock()
	if err != nil {
		return err
	}
	run, err := deployLine("run")
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(c.w.dir, "controller.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	if level := os.Getenv("REVIEW_LOG"); level != "" {
		run += " --log-level " + level
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Env = append(os.Environ(), "GW_NAME=n1", "GW_CONFIG="+c.config, "GW_LISTEN="+c.addr, "TMPDIR="+c.w.dir)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	c.w.mu.Lock()
	c.cmd, c.done, c.killed = cmd, done, false
	c.w.log("controller started, process %d", cmd.Process.Pid)
	c.w.mu.Unlock()
	go func() {
		err := cmd.Wait()
		c.w.mu.Lock()
		c.w.log("controller process %d ended: %v", cmd.Process.Pid, err)
		if !c.killed {
			c.w.fails("the controller ended by itself: %v", err)
		}
		c.w.mu.Unlock()
		close(done)
	}()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-done:
			return fmt.Errorf("the controller ended at its start, see its log: %s", lastLine(logFile.Name()))
		default:
		}
		conn, err := net.Dial("tcp4", c.addr)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(conn, `{"op":"test","call":"00000000000000aa","with":{},"why":0}`+"\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if err == nil && strings.Contains(line, `"tested"`) {
			c.w.say("controller passes a test")
			return nil
		}
	}
	return fmt.Errorf("the controller is not ready after 30 s")
}

func (c *controller) signal(s syscall.Signal) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.log("%v to the controller", s)
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		c.killed = true
	}
	c.cmd.Process.Signal(s)
}

// kill ends the controller outright.
func (c *controller) kill() {
	if c == nil || c.cmd == nil {
		return
	}
	c.signal(syscall.SIGKILL)
	<-c.done
	if path := os.Getenv("REVIEW_KEEP"); path != "" {
		if b, err := os.ReadFile(filepath.Join(c.w.dir, "controller.log")); err == nil {
			os.WriteFile(path, b, 0o644)
		}
	}
}

// lastLine returns the end of a file.
func lastLine(name string) string {
	b, err := os.ReadFile(name)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

// deployLine returns a command of the deploy file.
func deployLine(name string) (string, error) {
	b, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, name+" = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no line %s", name)
}

// open starts the name service and n switches of the cells 1 to n, lists them with the own exchange's, and starts the controller.
func (w *world) open(n int, plan func(in *invite) answer) error {
	addrs, err := freePorts(n + 2)
	if err != nil {
		return err
	}
	if w.names, err = newNames(w); err != nil {
		return err
	}
	for i := range n + 1 {
		s := &switchboard{w: w, id: fmt.Sprintf("s-%08x", 0xc40000+i), cell: i, addr: addrs[i], standing: map[string]*standing{}, plan: plan, confirmAfter: map[string]time.Duration{}}
		w.switches = append(w.switches, s)
		if err := s.listen(); err != nil {
			return err
		}
	}
	w.mu.Lock()
	w.names.set(listOf(w.switches...))
	w.mu.Unlock()
	w.control = &controller{w: w, addr: addrs[n+1], config: filepath.Join(w.dir, "config.json"), settings: settings}
	if w.settings != "" {
		w.control.settings = w.settings
	}
	w.caller = &callers{w: w}
	if err := w.control.start(); err != nil {
		return err
	}
	return w.caller.connect(4)
}
