// Package config reads the settings of a call controller from YAML. Every fault is named with file, line and key, and
// all of them at once.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/umbergauge/umbergauge/admission"
	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/numbering"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/trunk"
)

// Config is one settings file. docs/operations/settings.md explains each key to operators.
type Config struct {
	Exchange uint32 `yaml:"exchange"` // own point code
	Network  byte   `yaml:"network_indicator"`
	Listen   string `yaml:"listen"`
	Control  string `yaml:"control"`
	Metrics  string `yaml:"metrics"`
	Log      Log    `yaml:"log"`
	Seed     uint64 `yaml:"seed"`

	Guard           time.Duration `yaml:"guard"`
	MaxAttempts     int           `yaml:"max_attempts"`
	RetransmitAfter time.Duration `yaml:"repeat"`
	AnswerMargin    time.Duration `yaml:"answer_margin"`
	CutMemory       time.Duration `yaml:"cut_memory"`
	Hops            int           `yaml:"hops"`
	DrainLimit      time.Duration `yaml:"drain_limit"`
	OverQuotaWorth  float64       `yaml:"over_quota_worth"`

	ColdStart   ColdStart   `yaml:"cold"`
	Classes     []Class     `yaml:"classes"`
	Tenants     []Tenant    `yaml:"tenants"`
	Clients     []Client    `yaml:"clients"`
	Exchanges   []Exchange  `yaml:"exchanges"`
	Timers      Timers      `yaml:"timers"`
	Association Association `yaml:"association"`
	Limits      Limits      `yaml:"limits"`
	Hooks       Hooks       `yaml:"hooks"`
}

// Hooks are the scripts and how they are run.
type Hooks struct {
	Files    []string      `yaml:"files"`
	Examples []string      `yaml:"examples"`
	Deadline time.Duration `yaml:"deadline"`
	Workers  int           `yaml:"workers"`
	Queue    int           `yaml:"queue"`
}

// Log is how the daemon logs.
type Log struct {
	Level  string `yaml:"level"`  // debug, info, warn or error
	Format string `yaml:"format"` // json or console
}

// ColdStart is what is known of switches that have just started.
type ColdStart struct {
	WarmUp        time.Duration `yaml:"warm_up"`
	Share         float64       `yaml:"share"`
	CrashMultiple float64       `yaml:"fall_multiple"`
	CrashSpan     time.Duration `yaml:"fall_span"`
}

// Class is one class of calls.
type Class struct {
	Name       string        `yaml:"name"`
	Aim        time.Duration `yaml:"aim"`
	Patience   time.Duration `yaml:"patience"`
	Ring       time.Duration `yaml:"ring,omitempty"`
	Worth      float64       `yaml:"worth"`
	LateWorth  float64       `yaml:"late_worth"`
	Categories []int         `yaml:"categories"`
}

// Tenant is one of the customers.
type Tenant struct {
	Name  string  `yaml:"name"`
	Quota float64 `yaml:"quota"`
}

// Client is one who may connect, known by its ASP identifier.
type Client struct {
	Name   string `yaml:"name"`
	ASP    uint32 `yaml:"asp"`
	Tenant string `yaml:"tenant"`
	// Associations are the ASP identifiers of a client with several associations, in place of ASP, and Mode their traffic
	// mode: override, loadshare or broadcast.
	Associations []uint32 `yaml:"associations,omitempty"`
	Mode         string   `yaml:"mode,omitempty"`
}

// Modes are the traffic modes by name (RFC 4666, 3.7.1).
var TrafficModes = map[string]uint32{"override": m3ua.TrafficOverride, "loadshare": m3ua.TrafficLoadshare, "broadcast": m3ua.TrafficBroadcast}

// Has tells whether an ASP identifier is this client's.
func (c *Client) Has(asp uint32) bool {
	if len(c.Associations) > 0 {
		return slices.Contains(c.Associations, asp)
	}
	return c.ASP == asp
}

// Exchange is one exchange of the network, the own one among them.
type Exchange struct {
	PointCode uint32   `yaml:"point_code"`
	Name      string   `yaml:"name"`
	Switch    []string `yaml:"switch"` // addresses, tried in turn
	Circuits  int      `yaml:"circuits"`
	Prefixes  []string `yaml:"prefixes"`
}

// Timers are those of Q.764.
type Timers struct {
	T1             time.Duration `yaml:"t1"`
	T5             time.Duration `yaml:"t5"`
	T7             time.Duration `yaml:"t7,omitempty"`
	T9             time.Duration `yaml:"t9,omitempty"`
	T16            time.Duration `yaml:"t16"`
	T28            time.Duration `yaml:"t28"`
	SignallingHold time.Duration `yaml:"signalling_hold"`
}

// Association is how associations are kept.
type Association struct {
	Ack        time.Duration `yaml:"ack"`
	Tries      int           `yaml:"tries"`
	Beat       time.Duration `yaml:"beat"`
	BeatLimit  time.Duration `yaml:"beat_limit"`
	DialLimit  time.Duration `yaml:"dial_limit"`
	WriteLimit time.Duration `yaml:"write_limit"`
	BackoffMin time.Duration `yaml:"backoff_min"`
	BackoffMax time.Duration `yaml:"backoff_max"`
	Queue      int           `yaml:"queue"` // octets
	// Recovery is T(r): a client with several associations keeps its calls so long when the last one is lost; RecoveryQueue
	// bounds what waits for it, in octets.
	Recovery      time.Duration `yaml:"recovery,omitempty"`
	RecoveryQueue int           `yaml:"recovery_queue,omitempty"`
}

// Limits bound what the daemon holds.
type Limits struct {
	Calls      int             `yaml:"calls"`
	Clients    int             `yaml:"clients"`
	Events     int             `yaml:"events"`
	Handshakes float64         `yaml:"handshakes"` // new connections a second
	Client     AdmissionLimits `yaml:"client"`     // of each client
	Tenant     AdmissionLimits `yaml:"tenant"`     // of each tenant
	All        AdmissionLimits `yaml:"all"`        // of all clients together, shared fairly
}

// AdmissionLimits limits set-ups. Zero: no limit.
type AdmissionLimits struct {
	Rate  float64 `yaml:"rate"`
	Burst float64 `yaml:"burst"`
	Open  int     `yaml:"open"`
}

func (d AdmissionLimits) limits() admission.Limits {
	return admission.Limits{Rate: d.Rate, Burst: d.Burst, Open: d.Open}
}

// Default has the values of keys that a file may leave out.
func Default() Config {
	return Config{
		Network: 2, Log: Log{"info", "json"}, Guard: 200 * time.Millisecond, MaxAttempts: 4,
		AnswerMargin: 100 * time.Millisecond, CutMemory: 10 * time.Second, Hops: 5, DrainLimit: 30 * time.Second, OverQuotaWorth: 1,
		ColdStart: ColdStart{15 * time.Second, 0.3, 2, 3 * time.Second},
		Timers:    Timers{15 * time.Second, 5 * time.Minute, 20 * time.Second, 90 * time.Second, 15 * time.Second, 10 * time.Second, 10 * time.Second},
		Association: Association{2 * time.Second, 3, 5 * time.Second, 10 * time.Second, 2 * time.Second, 5 * time.Second,
			100 * time.Millisecond, 5 * time.Second, 1 << 20, 2 * time.Second, 256 << 10},
		Limits: Limits{Calls: 100_000, Clients: 1000, Events: 4096, Handshakes: 200},
		Hooks:  Hooks{Deadline: 20 * time.Millisecond, Workers: 2, Queue: 1024},
	}
}

// Fault is one thing wrong with a file.
type Fault struct {
	File         string
	Line, Column int
	Key          string
	What         string
}

func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Key != "" {
		return fmt.Sprintf("%s: %s: %s", at, f.Key, f.What)
	}
	return fmt.Sprintf("%s: %s", at, f.What)
}

// Faults are all things wrong with a file, by line.
type Faults []Fault

func (f Faults) Error() string {
	var b strings.Builder
	for i, x := range f {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(x.Error())
	}
	return b.String()
}

// Load reads and checks a file. The error is Faults, or that of reading the file.
func Load(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, b)
}

// Parse reads and checks settings; name stands in its errors.
func Parse(name string, b []byte) (*Config, error) {
	c := Default()
	if err := Decode(name, b, &c); err != nil {
		return nil, err
	}
	v := NewChecker(name, b)
	c.check(v)
	return &c, v.Err()
}

// Decode reads YAML into v and refuses unknown keys. The error is Faults.
func Decode(name string, b []byte, v any) error {
	if strings.TrimSpace(string(b)) == "" {
		return Faults{{File: name, What: "the file is empty"}}
	}
	if err := yaml.UnmarshalWithOptions(b, v, yaml.Strict()); err != nil {
		f := Fault{File: name, What: err.Error()}
		var y yaml.Error
		if errors.As(err, &y) {
			f.What = y.GetMessage()
			if t := y.GetToken(); t != nil {
				f.Line, f.Column = t.Position.Line, t.Position.Column
				f.Key = t.Value
			}
		} else if file, err := parser.ParseBytes(b, 0); err == nil {
			// A value that does not read, such as a duration, has no place in its error: the first one that is named there.
			v := &finder{what: f.What}
			for _, d := range file.Docs {
				ast.Walk(v, d.Body)
			}
			f.Line, f.Column = v.line, v.column
		}
		return Faults{f}
	}
	return nil
}

// finder looks for the first scalar that an error quotes.
type finder struct {
	what         string
	line, column int
}

func (f *finder) Visit(n ast.Node) ast.Visitor {
	if s, ok := n.(ast.ScalarNode); ok && f.line == 0 {
		if t := n.GetToken(); strings.Contains(f.what, fmt.Sprintf("%q", fmt.Sprint(s.GetValue()))) {
			f.line, f.column = t.Position.Line, t.Position.Column
		}
	}
	return f
}

// Checker gathers faults of a file and finds their lines.
type Checker struct {
	name   string
	file   *ast.File
	faults Faults
}

// NewChecker makes a Checker for a file that Decode has read.
func NewChecker(name string, b []byte) *Checker {
	f, _ := parser.ParseBytes(b, 0)
	return &Checker{name: name, file: f}
}

// Fail notes a fault at a key, such as classes[0].aim. A key that is not in the file is shown where its parent is.
func (v *Checker) Fail(key, format string, args ...any) {
	f := Fault{File: v.name, Key: key, What: fmt.Sprintf(format, args...)}
	for at := key; v.file != nil && at != ""; {
		if p, err := yaml.PathString("$." + at); err == nil {
			if n, err := p.FilterFile(v.file); err == nil && n != nil && n.GetToken() != nil {
				f.Line, f.Column = n.GetToken().Position.Line, n.GetToken().Position.Column
				break
			}
		}
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	v.faults = append(v.faults, f)
}

// Must notes a fault unless ok.
func (v *Checker) Must(ok bool, key, format string, args ...any) {
	if !ok {
		v.Fail(key, format, args...)
	}
}

// Err is all faults, or nil.
func (v *Checker) Err() error {
	if len(v.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(v.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return v.faults
}

// maxPC is the highest point code of 14 bits (Q.704, 2.2.3).
const maxPC = 1<<14 - 1

// Address says what is wrong with a host and port.
func (v *Checker) Address(key, a string) {
	_, port, err := net.SplitHostPort(a)
	if err != nil {
		v.Fail(key, "%q is no address of the form host:port", a)
		return
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		v.Fail(key, "%q: the port must be 0 to 65535", a)
	}
}

func (v *Checker) span(key string, d, from, to time.Duration) {
	if d < from || d > to {
		v.Fail(key, "%v; %v to %v can be", d, from, to)
	}
}

func (c *Config) check(v *Checker) {
	v.Must(c.Exchange > 0 && c.Exchange <= maxPC, "exchange", "the own point code must be 1 to %d", maxPC)
	v.Must(c.Network <= 3, "network_indicator", "%d; 0 to 3 can be", c.Network)
	if c.Listen == "" {
		v.Fail("listen", "is missing: where clients connect")
	} else {
		v.Address("listen", c.Listen)
	}
	for key, a := range map[string]string{"control": c.Control, "metrics": c.Metrics} {
		if a != "" {
			v.Address(key, a)
		}
	}
	v.Must(slices.Contains([]string{"debug", "info", "warn", "error"}, c.Log.Level), "log.level", "%q; debug, info, warn or error can be", c.Log.Level)
	v.Must(c.Log.Format == "json" || c.Log.Format == "console", "log.format", "%q; json or console can be", c.Log.Format)
	v.span("guard", c.Guard, 0, time.Minute)
	v.Must(c.MaxAttempts >= 1 && c.MaxAttempts <= 16, "max_attempts", "%d; 1 to 16 can be", c.MaxAttempts)
	v.span("repeat", c.RetransmitAfter, 0, time.Minute)
	v.span("answer_margin", c.AnswerMargin, 0, 10*time.Second)
	v.span("cut_memory", c.CutMemory, 0, time.Hour)
	v.Must(c.Hops >= 1 && c.Hops <= 31, "hops", "%d; 1 to 31 can be", c.Hops)
	v.span("drain_limit", c.DrainLimit, 0, 24*time.Hour)
	v.Must(c.OverQuotaWorth >= 0 && c.OverQuotaWorth <= 1, "over_quota_worth", "%v; 0 to 1 can be", c.OverQuotaWorth)
	v.span("cold.warm_up", c.ColdStart.WarmUp, 0, time.Hour)
	v.Must(c.ColdStart.Share > 0 && c.ColdStart.Share <= 1, "cold.share", "%v; above 0 to 1 can be", c.ColdStart.Share)
	v.Must(c.ColdStart.CrashMultiple >= 1, "cold.fall_multiple", "%v; it must be 1 at the least", c.ColdStart.CrashMultiple)
	v.span("cold.fall_span", c.ColdStart.CrashSpan, 0, time.Minute)
	v.span("timers.t1", c.Timers.T1, 100*time.Millisecond, time.Minute)
	v.span("timers.t5", c.Timers.T5, c.Timers.T1, 15*time.Minute)
	v.span("timers.t7", c.Timers.T7, 100*time.Millisecond, time.Minute)
	v.span("timers.t9", c.Timers.T9, time.Second, 10*time.Minute)
	v.span("timers.t16", c.Timers.T16, 100*time.Millisecond, time.Minute)
	v.span("timers.t28", c.Timers.T28, 100*time.Millisecond, time.Minute)
	v.span("timers.signalling_hold", c.Timers.SignallingHold, 0, 10*time.Minute)
	a := c.Association
	v.span("association.ack", a.Ack, 10*time.Millisecond, time.Minute)
	v.Must(a.Tries >= 1 && a.Tries <= 100, "association.tries", "%d; 1 to 100 can be", a.Tries)
	v.span("association.beat", a.Beat, 10*time.Millisecond, 10*time.Minute)
	v.span("association.beat_limit", a.BeatLimit, a.Beat, time.Hour)
	v.span("association.dial_limit", a.DialLimit, 10*time.Millisecond, time.Minute)
	v.span("association.write_limit", a.WriteLimit, 10*time.Millisecond, time.Minute)
	v.span("association.backoff_min", a.BackoffMin, time.Millisecond, time.Minute)
	v.span("association.backoff_max", a.BackoffMax, a.BackoffMin, time.Hour)
	v.span("association.recovery", a.Recovery, 0, time.Minute)
	v.Must(a.RecoveryQueue >= 0 && a.RecoveryQueue <= 64<<20, "association.recovery_queue", "%d octets; 0 to 64 MiB can be", a.RecoveryQueue)
	v.Must(a.Queue >= m3ua.MaxFrame, "association.queue", "%d octets; it must hold a frame of %d", a.Queue, m3ua.MaxFrame)
	v.Must(c.Limits.Calls >= 1 && c.Limits.Calls <= 1<<30, "limits.calls", "%d; 1 to 2^30 can be", c.Limits.Calls)
	v.Must(c.Limits.Clients >= 1, "limits.clients", "%d; it must be 1 at the least", c.Limits.Clients)
	v.Must(c.Limits.Events >= 1 && c.Limits.Events <= 1<<20, "limits.events", "%d; 1 to 2^20 can be", c.Limits.Events)
	v.Must(c.Limits.Handshakes > 0, "limits.handshakes", "%v; it must be above 0", c.Limits.Handshakes)
	for key, d := range map[string]AdmissionLimits{"client": c.Limits.Client, "tenant": c.Limits.Tenant, "all": c.Limits.All} {
		v.Must(d.Rate >= 0 && d.Burst >= 0 && d.Open >= 0, "limits."+key, "a negative limit")
	}
	v.span("hooks.deadline", c.Hooks.Deadline, time.Millisecond, time.Second)
	v.Must(c.Hooks.Workers >= 1 && c.Hooks.Workers <= 64, "hooks.workers", "%d; 1 to 64 can be", c.Hooks.Workers)
	v.Must(c.Hooks.Queue >= 1 && c.Hooks.Queue <= 1<<16, "hooks.queue", "%d; 1 to 65536 can be", c.Hooks.Queue)
	c.checkClasses(v)
	c.checkClients(v)
	c.checkExchanges(v)
}

func (c *Config) checkClasses(v *Checker) {
	v.Must(len(c.Classes) > 0 && len(c.Classes) < 256, "classes", "%d classes; 1 to 255 can be", len(c.Classes))
	seen, names := map[int]string{}, map[string]bool{}
	for i, cl := range c.Classes {
		key := func(k string) string { return fmt.Sprintf("classes[%d].%s", i, k) }
		v.Must(cl.Name != "" && !names[cl.Name], key("name"), "%q is empty or given twice", cl.Name)
		names[cl.Name] = true
		v.span(key("aim"), cl.Aim, time.Millisecond, time.Minute)
		v.span(key("patience"), cl.Patience, time.Millisecond, 2*time.Minute)
		v.Must(cl.Patience >= cl.Aim, key("patience"), "%v is under the aim of %v: its callers give up before a call can be late", cl.Patience, cl.Aim)
		v.Must(cl.Ring == 0 || cl.Ring >= time.Second && cl.Ring <= 10*time.Minute, key("ring"), "%v; 1s to 10m can be", cl.Ring)
		v.Must(cl.Patience > c.AnswerMargin, key("patience"), "%v, not above answer_margin %v: no call could be answered in time", cl.Patience, c.AnswerMargin)
		v.Must(cl.Worth >= 0, key("worth"), "%v is negative", cl.Worth)
		v.Must(cl.LateWorth >= 0 && cl.LateWorth <= 1, key("late_worth"), "%v; 0 to 1 can be", cl.LateWorth)
		for j, cat := range cl.Categories {
			k := fmt.Sprintf("classes[%d].categories[%d]", i, j)
			v.Must(cat >= 0 && cat <= 255, k, "%d is no calling party's category", cat)
			v.Must(seen[cat] == "", k, "%d marks class %s already", cat, seen[cat])
			seen[cat] = cl.Name
		}
		v.Must(i == 0 || len(cl.Categories) > 0, key("categories"), "is missing: no call would be of class %s", cl.Name)
	}
}

func (c *Config) checkClients(v *Checker) {
	tenants := map[string]bool{}
	for i, t := range c.Tenants {
		v.Must(t.Name != "" && !tenants[t.Name], fmt.Sprintf("tenants[%d].name", i), "%q is empty or given twice", t.Name)
		v.Must(t.Quota >= 0, fmt.Sprintf("tenants[%d].quota", i), "%v is negative", t.Quota)
		tenants[t.Name] = true
	}
	asps := map[uint32]bool{}
	names := map[string]bool{}
	for i, x := range c.Clients {
		key, ids := fmt.Sprintf("clients[%d].asp", i), []uint32{x.ASP}
		if len(x.Associations) > 0 {
			v.Must(x.ASP == 0, key, "is given beside associations: one of the two names a client")
			v.Must(TrafficModes[x.Mode] != 0, fmt.Sprintf("clients[%d].mode", i), "%q; override, loadshare or broadcast can be", x.Mode)
			v.Must(!names[x.Name] && x.Name != "", fmt.Sprintf("clients[%d].name", i), "%q is missing or given twice", x.Name)
			names[x.Name] = true
			key, ids = fmt.Sprintf("clients[%d].associations", i), x.Associations
		} else {
			v.Must(x.Mode == "", fmt.Sprintf("clients[%d].mode", i), "is of no use without associations")
		}
		for _, id := range ids {
			v.Must(!asps[id], key, "%d is given twice", id)
			asps[id] = true
		}
		v.Must(x.Tenant == "" || tenants[x.Tenant], fmt.Sprintf("clients[%d].tenant", i), "there is no tenant %q", x.Tenant)
	}
}

func (c *Config) checkExchanges(v *Checker) {
	seen, addrs := map[uint32]bool{}, map[string]uint32{}
	var numbers numbering.Table[uint32]
	for i, x := range c.Exchanges {
		key := func(k string) string { return fmt.Sprintf("exchanges[%d].%s", i, k) }
		v.Must(x.PointCode > 0 && x.PointCode <= maxPC, key("point_code"), "%d; 1 to %d can be", x.PointCode, maxPC)
		v.Must(!seen[x.PointCode], key("point_code"), "%d is given twice", x.PointCode)
		seen[x.PointCode] = true
		v.Must(len(x.Switch) > 0, key("switch"), "is missing: the addresses of the switch")
		for j, a := range x.Switch {
			k := fmt.Sprintf("exchanges[%d].switch[%d]", i, j)
			v.Address(k, a)
			v.Must(addrs[a] == 0, k, "%s is the address of exchange %d already", a, addrs[a])
			addrs[a] = x.PointCode
		}
		if x.PointCode == c.Exchange {
			v.Must(x.Circuits == 0, key("circuits"), "the own exchange has no group to itself")
		} else {
			v.Must(x.Circuits >= 0 && x.Circuits <= isup.MaxCIC, key("circuits"), "%d; 0 to %d can be", x.Circuits, isup.MaxCIC)
		}
		for j, p := range x.Prefixes {
			if err := numbers.Add(p, x.PointCode); err != nil {
				v.Fail(fmt.Sprintf("exchanges[%d].prefixes[%d]", i, j), "%v", err)
			}
		}
	}
	v.Must(len(c.Exchanges) >= 2, "exchanges", "%d exchanges; the own one and another at the least", len(c.Exchanges))
	v.Must(seen[c.Exchange], "exchanges", "the own exchange %d is missing", c.Exchange)
}

// Controller is the part for the call controller.
func (c *Config) Controller() controller.Config {
	out := controller.Config{
		PointCode: c.Exchange, Network: c.Network, AnswerMargin: c.AnswerMargin, CutMemory: c.CutMemory, Hops: byte(c.Hops),
		MaxCalls: c.Limits.Calls, Recovery: c.Association.Recovery, RecoveryOctets: c.Association.RecoveryQueue, ClientT1: c.Timers.T1, T7: c.Timers.T7, T9: c.Timers.T9,
		Trunk: trunk.Timers{T1: c.Timers.T1, T5: c.Timers.T5, T16: c.Timers.T16, T28: c.Timers.T28, SignallingHold: c.Timers.SignallingHold},
		Policy: policy.Config{Seed: c.Seed, Controllers: len(c.Exchanges), OverQuotaWorth: c.OverQuotaWorth, MaxAttempts: c.MaxAttempts,
			Guard: c.Guard, RetransmitAfter: c.RetransmitAfter, WarmUp: c.ColdStart.WarmUp, ColdShare: c.ColdStart.Share, CrashMultiple: c.ColdStart.CrashMultiple,
			CrashSpan: c.ColdStart.CrashSpan,
			Index:     slices.IndexFunc(c.Exchanges, func(e Exchange) bool { return e.PointCode == c.Exchange })},
	}
	for _, cl := range c.Classes {
		out.Policy.Classes = append(out.Policy.Classes, policy.Class{Aim: cl.Aim, Worth: cl.Worth, LateWorth: cl.LateWorth, Circuits: 1, Repeatable: true})
		k := controller.Class{Name: cl.Name, Patience: cl.Patience, Ring: cl.Ring}
		for _, cat := range cl.Categories {
			k.Categories = append(k.Categories, isup.Category(cat))
		}
		out.Classes = append(out.Classes, k)
	}
	for _, t := range c.Tenants {
		out.Policy.Tenants = append(out.Policy.Tenants, policy.Tenant{Quota: t.Quota})
		out.Tenants = append(out.Tenants, t.Name)
	}
	out.Exchanges = c.ExchangeList()
	out.HookDeadline = c.Hooks.Deadline
	out.Admission, out.TenantAdmission = admission.Config{Client: c.Limits.Client.limits(), All: c.Limits.All.limits()}, c.Limits.Tenant.limits()
	return out
}

// ExchangeList is the list of exchanges for the call controller.
func (c *Config) ExchangeList() []controller.Exchange {
	out := make([]controller.Exchange, 0, len(c.Exchanges))
	for _, x := range c.Exchanges {
		out = append(out, controller.Exchange{PointCode: x.PointCode, Name: x.Name, Address: x.Switch[0], Circuits: x.Circuits, Prefixes: x.Prefixes})
	}
	return out
}

// Tenant is the index of a tenant by name; 0 for none.
func (c *Config) Tenant(name string) int {
	return max(0, slices.IndexFunc(c.Tenants, func(t Tenant) bool { return t.Name == name }))
}

// M3UA is the part for associations.
func (c *Config) M3UA() m3ua.Timers {
	return m3ua.Timers{Ack: c.Association.Ack, Tries: c.Association.Tries, Beat: c.Association.Beat, BeatLimit: c.Association.BeatLimit}
}

// Check checks settings that were made in the program; name stands in its errors.
func (c *Config) Check(name string) error {
	v := &Checker{name: name}
	c.check(v)
	return v.Err()
}
