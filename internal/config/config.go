// Package config reads the settings of a call controller from YAML. It reports all errors of a file together, each with file,
// line, column and key.
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

// Config is a settings file. docs/operations/settings.md documents the keys for operators.
type Config struct {
	Exchange uint32 `yaml:"exchange"` // point code of the controller's own exchange
	Network  byte   `yaml:"network_indicator"`
	Listen   string `yaml:"listen"`
	Control  string `yaml:"control"`
	Metrics  string `yaml:"metrics"`
	Log      Log    `yaml:"log"`
	Seed     uint64 `yaml:"seed"`

	Guard           time.Duration `yaml:"guard"`            // see policy.Config
	MaxAttempts     int           `yaml:"max_attempts"`     // attempts allowed for one call
	RetransmitAfter time.Duration `yaml:"repeat"`           // see policy.Config
	AnswerMargin    time.Duration `yaml:"answer_margin"`    // see controller.Config
	CutMemory       time.Duration `yaml:"cut_memory"`       // see controller.Config
	Hops            int           `yaml:"hops"`             // hop counter of a call that arrives without one
	DrainLimit      time.Duration `yaml:"drain_limit"`      // longest time for a drain
	OverQuotaWorth  float64       `yaml:"over_quota_worth"` // worth of a call beyond its tenant's quota, as a share of its worth

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

// Hooks names the files of scripts and sets the limits for running their hooks.
type Hooks struct {
	Files    []string      `yaml:"files"`
	Examples []string      `yaml:"examples"`
	Deadline time.Duration `yaml:"deadline"`
	Workers  int           `yaml:"workers"`
	Queue    int           `yaml:"queue"`
}

// Log sets the level and format of the daemon's log.
type Log struct {
	Level  string `yaml:"level"`  // debug, info, warn or error
	Format string `yaml:"format"` // json or console
}

// ColdStart describes freshly started switches, which have less capacity until they are warm.
type ColdStart struct {
	WarmUp        time.Duration `yaml:"warm_up"`       // time from its start until a switch is warm
	Share         float64       `yaml:"share"`         // lowest share of its capacity that a fresh switch has
	CrashMultiple float64       `yaml:"fall_multiple"` // a cold switch crashes when it is sent this multiple of its capacity ...
	CrashSpan     time.Duration `yaml:"fall_span"`     // ... for this time
}

// Class is a class of calls.
type Class struct {
	Name       string        `yaml:"name"`
	Aim        time.Duration `yaml:"aim"`            // set-up time that earns the full worth
	Patience   time.Duration `yaml:"patience"`       // callers give up after this time, unless the call rings by then
	Ring       time.Duration `yaml:"ring,omitempty"` // how long callers let it ring; 0: the default of controller.Class
	Worth      float64       `yaml:"worth"`
	LateWorth  float64       `yaml:"late_worth"` // share of the worth that a late set-up earns
	Categories []int         `yaml:"categories"` // calling party's categories of the class
}

// Tenant is a customer. Quota is the rate of its calls, in calls per second over all controllers, that have their full worth
// (see OverQuotaWorth); 0: unlimited.
type Tenant struct {
	Name  string  `yaml:"name"`
	Quota float64 `yaml:"quota"`
}

// Client is a client that may connect. It is identified by its ASP identifier.
type Client struct {
	Name   string `yaml:"name"`
	ASP    uint32 `yaml:"asp"`
	Tenant string `yaml:"tenant"`
	// Associations are the ASP identifiers of a client with several associations, which has no ASP. Mode is their traffic
	// mode: override, loadshare or broadcast.
	Associations []uint32 `yaml:"associations,omitempty"`
	Mode         string   `yaml:"mode,omitempty"`
}

// TrafficModes maps names to traffic modes (RFC 4666, 3.7.1).
var TrafficModes = map[string]uint32{"override": m3ua.TrafficOverride, "loadshare": m3ua.TrafficLoadshare, "broadcast": m3ua.TrafficBroadcast}

// HasASP reports whether the client uses the ASP identifier.
func (c *Client) HasASP(id uint32) bool {
	if len(c.Associations) > 0 {
		return slices.Contains(c.Associations, id)
	}
	return c.ASP == id
}

// Exchange is an exchange of the network. The controller's own exchange is listed too.
type Exchange struct {
	PointCode uint32   `yaml:"point_code"`
	Name      string   `yaml:"name"`
	Switch    []string `yaml:"switch"` // addresses of its switch, tried in turn
	Circuits  int      `yaml:"circuits"`
	Prefixes  []string `yaml:"prefixes"`
}

// Timers are the timers of Q.764.
type Timers struct {
	T1             time.Duration `yaml:"t1"`
	T5             time.Duration `yaml:"t5"`
	T7             time.Duration `yaml:"t7,omitempty"`
	T9             time.Duration `yaml:"t9,omitempty"`
	T16            time.Duration `yaml:"t16"`
	T28            time.Duration `yaml:"t28"`
	SignallingHold time.Duration `yaml:"signalling_hold"`
}

// Association has the timers and limits of associations.
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
	// Recovery is T(r): how long a client with several associations keeps its calls after the loss of the last one.
	// RecoveryQueue bounds the messages queued for it meanwhile, in octets.
	Recovery      time.Duration `yaml:"recovery,omitempty"`
	RecoveryQueue int           `yaml:"recovery_queue,omitempty"`
}

// Limits bounds the calls, clients and queues of the daemon.
type Limits struct {
	Calls         int             `yaml:"calls"`
	Clients       int             `yaml:"clients"`
	Events        int             `yaml:"events"`
	HandshakeRate float64         `yaml:"handshakes"` // new connections per second
	Client        AdmissionLimits `yaml:"client"`     // of each client
	Tenant        AdmissionLimits `yaml:"tenant"`     // of each tenant
	All           AdmissionLimits `yaml:"all"`        // of all clients together, shared fairly
}

// AdmissionLimits limits new calls and open calls. Zero: no limit.
type AdmissionLimits struct {
	Rate  float64 `yaml:"rate"`
	Burst float64 `yaml:"burst"`
	Open  int     `yaml:"open"`
}

func (l AdmissionLimits) limits() admission.Limits {
	return admission.Limits{Rate: l.Rate, Burst: l.Burst, Open: l.Open}
}

// Default returns the defaults for keys that a file may omit.
func Default() Config {
	return Config{
		Network: 2, Log: Log{"info", "json"}, Guard: 200 * time.Millisecond, MaxAttempts: 4,
		AnswerMargin: 100 * time.Millisecond, CutMemory: 10 * time.Second, Hops: 5, DrainLimit: 30 * time.Second, OverQuotaWorth: 1,
		ColdStart: ColdStart{15 * time.Second, 0.3, 2, 3 * time.Second},
		Timers:    Timers{15 * time.Second, 5 * time.Minute, 20 * time.Second, 90 * time.Second, 15 * time.Second, 10 * time.Second, 10 * time.Second},
		Association: Association{2 * time.Second, 3, 5 * time.Second, 10 * time.Second, 2 * time.Second, 5 * time.Second,
			100 * time.Millisecond, 5 * time.Second, 1 << 20, 2 * time.Second, 256 << 10},
		Limits: Limits{Calls: 100_000, Clients: 1000, Events: 4096, HandshakeRate: 200},
		Hooks:  Hooks{Deadline: 20 * time.Millisecond, Workers: 2, Queue: 1024},
	}
}

// FileError is an error in a file. Line is 0 when its position is unknown.
type FileError struct {
	File         string
	Line, Column int
	Key          string
	Reason       string
}

func (f FileError) Error() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Key != "" {
		return fmt.Sprintf("%s: %s: %s", position, f.Key, f.Reason)
	}
	return fmt.Sprintf("%s: %s", position, f.Reason)
}

// FileErrors are all errors of a file, ordered by line.
type FileErrors []FileError

func (f FileErrors) Error() string {
	var text strings.Builder
	for i, problem := range f {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(problem.Error())
	}
	return text.String()
}

// Load reads and checks a settings file. The error is of type FileErrors, or that of reading the file.
func Load(path string) (*Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, content)
}

// Parse parses and checks settings; its errors show name as the file.
func Parse(name string, content []byte) (*Config, error) {
	c := Default()
	if err := Decode(name, content, &c); err != nil {
		return nil, err
	}
	checker := NewChecker(name, content)
	c.check(checker)
	return &c, checker.Err()
}

// Decode decodes YAML into v and rejects unknown keys. The error is of type FileErrors.
func Decode(name string, content []byte, v any) error {
	if strings.TrimSpace(string(content)) == "" {
		return FileErrors{{File: name, Reason: "the file is empty"}}
	}
	if err := yaml.UnmarshalWithOptions(content, v, yaml.Strict()); err != nil {
		problem := FileError{File: name, Reason: err.Error()}
		var yamlError yaml.Error
		if errors.As(err, &yamlError) {
			problem.Reason = yamlError.GetMessage()
			if token := yamlError.GetToken(); token != nil {
				problem.Line, problem.Column = token.Position.Line, token.Position.Column
				problem.Key = token.Value
			}
		} else if file, err := parser.ParseBytes(content, 0); err == nil {
			// The error of an invalid value, such as a duration, has no position: take that of the first scalar it quotes.
			v := &scalarFinder{message: problem.Reason}
			for _, document := range file.Docs {
				ast.Walk(v, document.Body)
			}
			problem.Line, problem.Column = v.line, v.column
		}
		return FileErrors{problem}
	}
	return nil
}

// scalarFinder finds the position of the first scalar that an error message quotes.
type scalarFinder struct {
	message      string
	line, column int
}

func (f *scalarFinder) Visit(node ast.Node) ast.Visitor {
	if scalar, ok := node.(ast.ScalarNode); ok && f.line == 0 {
		if token := node.GetToken(); strings.Contains(f.message, fmt.Sprintf("%q", fmt.Sprint(scalar.GetValue()))) {
			f.line, f.column = token.Position.Line, token.Position.Column
		}
	}
	return f
}

// Checker collects the errors of a file and determines their positions.
type Checker struct {
	name  string
	file  *ast.File
	found FileErrors
}

// NewChecker returns a Checker for a file that Decode accepted.
func NewChecker(name string, content []byte) *Checker {
	parsed, _ := parser.ParseBytes(content, 0)
	return &Checker{name: name, file: parsed}
}

// Errorf records an error at a key, such as classes[0].aim. A key that is not in the file has the position of its parent.
func (v *Checker) Errorf(key, format string, args ...any) {
	problem := FileError{File: v.name, Key: key, Reason: fmt.Sprintf(format, args...)}
	for path := key; v.file != nil && path != ""; {
		if parsed, err := yaml.PathString("$." + path); err == nil {
			if node, err := parsed.FilterFile(v.file); err == nil && node != nil && node.GetToken() != nil {
				problem.Line, problem.Column = node.GetToken().Position.Line, node.GetToken().Position.Column
				break
			}
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	v.found = append(v.found, problem)
}

// Must records an error unless ok.
func (v *Checker) Must(ok bool, key, format string, args ...any) {
	if !ok {
		v.Errorf(key, format, args...)
	}
}

// Err returns the recorded errors as FileErrors, or nil.
func (v *Checker) Err() error {
	if len(v.found) == 0 {
		return nil
	}
	slices.SortStableFunc(v.found, func(a, b FileError) int { return cmp.Compare(a.Line, b.Line) })
	return v.found
}

// maxPointCode is the highest point code, of 14 bits (Q.704, 2.2.3).
const maxPointCode = 1<<14 - 1

// Address records an error unless address is a host and a port.
func (v *Checker) Address(key, address string) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		v.Errorf(key, "%q is not an address of the form host:port", address)
		return
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		v.Errorf(key, "%q: the port is not in the range of 0 to 65535", address)
	}
}

// durationRange records an error unless value is in the range.
func (v *Checker) durationRange(key string, value, from, to time.Duration) {
	if value < from || value > to {
		v.Errorf(key, "%v is not in the range of %v to %v", value, from, to)
	}
}

func (c *Config) check(checker *Checker) {
	checker.Must(c.Exchange > 0 && c.Exchange <= maxPointCode, "exchange", "this controller's point code is not in the range of 1 to %d", maxPointCode)
	checker.Must(c.Network <= 3, "network_indicator", "%d is not in the range of 0 to 3", c.Network)
	if c.Listen == "" {
		checker.Errorf("listen", "is missing: the address on which clients connect")
	} else {
		checker.Address("listen", c.Listen)
	}
	for key, a := range map[string]string{"control": c.Control, "metrics": c.Metrics} {
		if a != "" {
			checker.Address(key, a)
		}
	}
	checker.Must(slices.Contains([]string{"debug", "info", "warn", "error"}, c.Log.Level), "log.level", "%q is not debug, info, warn or error", c.Log.Level)
	checker.Must(c.Log.Format == "json" || c.Log.Format == "console", "log.format", "%q is not json or console", c.Log.Format)
	checker.durationRange("guard", c.Guard, 0, time.Minute)
	checker.Must(c.MaxAttempts >= 1 && c.MaxAttempts <= 16, "max_attempts", "%d is not in the range of 1 to 16", c.MaxAttempts)
	checker.durationRange("repeat", c.RetransmitAfter, 0, time.Minute)
	checker.durationRange("answer_margin", c.AnswerMargin, 0, 10*time.Second)
	checker.durationRange("cut_memory", c.CutMemory, 0, time.Hour)
	checker.Must(c.Hops >= 1 && c.Hops <= 31, "hops", "%d is not in the range of 1 to 31", c.Hops)
	checker.durationRange("drain_limit", c.DrainLimit, 0, 24*time.Hour)
	checker.Must(c.OverQuotaWorth >= 0 && c.OverQuotaWorth <= 1, "over_quota_worth", "%v is not in the range of 0 to 1", c.OverQuotaWorth)
	checker.durationRange("cold.warm_up", c.ColdStart.WarmUp, 0, time.Hour)
	checker.Must(c.ColdStart.Share > 0 && c.ColdStart.Share <= 1, "cold.share", "%v is not above 0 and at most 1", c.ColdStart.Share)
	checker.Must(c.ColdStart.CrashMultiple >= 1, "cold.fall_multiple", "%v is less than 1", c.ColdStart.CrashMultiple)
	checker.durationRange("cold.fall_span", c.ColdStart.CrashSpan, 0, time.Minute)
	checker.durationRange("timers.t1", c.Timers.T1, 100*time.Millisecond, time.Minute)
	checker.durationRange("timers.t5", c.Timers.T5, c.Timers.T1, 15*time.Minute)
	checker.durationRange("timers.t7", c.Timers.T7, 100*time.Millisecond, time.Minute)
	checker.durationRange("timers.t9", c.Timers.T9, time.Second, 10*time.Minute)
	checker.durationRange("timers.t16", c.Timers.T16, 100*time.Millisecond, time.Minute)
	checker.durationRange("timers.t28", c.Timers.T28, 100*time.Millisecond, time.Minute)
	checker.durationRange("timers.signalling_hold", c.Timers.SignallingHold, 0, 10*time.Minute)
	a := c.Association
	checker.durationRange("association.ack", a.Ack, 10*time.Millisecond, time.Minute)
	checker.Must(a.Tries >= 1 && a.Tries <= 100, "association.tries", "%d is not in the range of 1 to 100", a.Tries)
	checker.durationRange("association.beat", a.Beat, 10*time.Millisecond, 10*time.Minute)
	checker.durationRange("association.beat_limit", a.BeatLimit, a.Beat, time.Hour)
	checker.durationRange("association.dial_limit", a.DialLimit, 10*time.Millisecond, time.Minute)
	checker.durationRange("association.write_limit", a.WriteLimit, 10*time.Millisecond, time.Minute)
	checker.durationRange("association.backoff_min", a.BackoffMin, time.Millisecond, time.Minute)
	checker.durationRange("association.backoff_max", a.BackoffMax, a.BackoffMin, time.Hour)
	checker.durationRange("association.recovery", a.Recovery, 0, time.Minute)
	checker.Must(a.RecoveryQueue >= 0 && a.RecoveryQueue <= 64<<20, "association.recovery_queue", "%d octets is not in the range of 0 to 64 MiB", a.RecoveryQueue)
	checker.Must(a.Queue >= m3ua.MaxFrame, "association.queue", "%d octets cannot hold a frame of %d octets", a.Queue, m3ua.MaxFrame)
	checker.Must(c.Limits.Calls >= 1 && c.Limits.Calls <= 1<<30, "limits.calls", "%d is not in the range of 1 to 2^30", c.Limits.Calls)
	checker.Must(c.Limits.Clients >= 1, "limits.clients", "%d is less than 1", c.Limits.Clients)
	checker.Must(c.Limits.Events >= 1 && c.Limits.Events <= 1<<20, "limits.events", "%d is not in the range of 1 to 2^20", c.Limits.Events)
	checker.Must(c.Limits.HandshakeRate > 0, "limits.handshakes", "%v is not above 0", c.Limits.HandshakeRate)
	for key, limits := range map[string]AdmissionLimits{"client": c.Limits.Client, "tenant": c.Limits.Tenant, "all": c.Limits.All} {
		checker.Must(limits.Rate >= 0 && limits.Burst >= 0 && limits.Open >= 0, "limits."+key, "a limit is negative")
	}
	checker.durationRange("hooks.deadline", c.Hooks.Deadline, time.Millisecond, time.Second)
	checker.Must(c.Hooks.Workers >= 1 && c.Hooks.Workers <= 64, "hooks.workers", "%d is not in the range of 1 to 64", c.Hooks.Workers)
	checker.Must(c.Hooks.Queue >= 1 && c.Hooks.Queue <= 1<<16, "hooks.queue", "%d is not in the range of 1 to 65536", c.Hooks.Queue)
	c.checkClasses(checker)
	c.checkClients(checker)
	c.checkExchanges(checker)
}

func (c *Config) checkClasses(checker *Checker) {
	checker.Must(len(c.Classes) > 0 && len(c.Classes) < 256, "classes", "%d classes: the number is not in the range of 1 to 255", len(c.Classes))
	seen, names := map[int]string{}, map[string]bool{}
	for i, class := range c.Classes {
		key := func(k string) string { return fmt.Sprintf("classes[%d].%s", i, k) }
		checker.Must(class.Name != "" && !names[class.Name], key("name"), "%q is empty or given twice", class.Name)
		names[class.Name] = true
		checker.durationRange(key("aim"), class.Aim, time.Millisecond, time.Minute)
		checker.durationRange(key("patience"), class.Patience, time.Millisecond, 2*time.Minute)
		checker.Must(class.Patience >= class.Aim, key("patience"), "%v is under the aim of %v: its callers would give up before a call can be late", class.Patience, class.Aim)
		checker.Must(class.Ring == 0 || class.Ring >= time.Second && class.Ring <= 10*time.Minute, key("ring"), "%v is not in the range of 1s to 10m", class.Ring)
		checker.Must(class.Patience > c.AnswerMargin, key("patience"), "%v is not above answer_margin %v: no call could be answered in time", class.Patience, c.AnswerMargin)
		checker.Must(class.Worth >= 0, key("worth"), "%v is negative", class.Worth)
		checker.Must(class.LateWorth >= 0 && class.LateWorth <= 1, key("late_worth"), "%v is not in the range of 0 to 1", class.LateWorth)
		for j, category := range class.Categories {
			k := fmt.Sprintf("classes[%d].categories[%d]", i, j)
			checker.Must(category >= 0 && category <= 255, k, "%d is not a calling party's category (0 to 255)", category)
			checker.Must(seen[category] == "", k, "category %d is already assigned to class %s", category, seen[category])
			seen[category] = class.Name
		}
		checker.Must(i == 0 || len(class.Categories) > 0, key("categories"), "is missing: no call would be of class %s", class.Name)
	}
}

func (c *Config) checkClients(checker *Checker) {
	tenants := map[string]bool{}
	for i, tenant := range c.Tenants {
		checker.Must(tenant.Name != "" && !tenants[tenant.Name], fmt.Sprintf("tenants[%d].name", i), "%q is empty or given twice", tenant.Name)
		checker.Must(tenant.Quota >= 0, fmt.Sprintf("tenants[%d].quota", i), "%v is negative", tenant.Quota)
		tenants[tenant.Name] = true
	}
	asps := map[uint32]bool{}
	names := map[string]bool{}
	for i, client := range c.Clients {
		key, ids := fmt.Sprintf("clients[%d].asp", i), []uint32{client.ASP}
		if len(client.Associations) > 0 {
			checker.Must(client.ASP == 0, key, "is given together with associations: a client has either of them")
			checker.Must(TrafficModes[client.Mode] != 0, fmt.Sprintf("clients[%d].mode", i), "%q is not override, loadshare or broadcast", client.Mode)
			checker.Must(!names[client.Name] && client.Name != "", fmt.Sprintf("clients[%d].name", i), "%q is missing or given twice", client.Name)
			names[client.Name] = true
			key, ids = fmt.Sprintf("clients[%d].associations", i), client.Associations
		} else {
			checker.Must(client.Mode == "", fmt.Sprintf("clients[%d].mode", i), "has no effect without associations")
		}
		for _, id := range ids {
			checker.Must(!asps[id], key, "%d is given twice", id)
			asps[id] = true
		}
		checker.Must(client.Tenant == "" || tenants[client.Tenant], fmt.Sprintf("clients[%d].tenant", i), "there is no tenant %q", client.Tenant)
	}
}

func (c *Config) checkExchanges(checker *Checker) {
	seen, addresses := map[uint32]bool{}, map[string]uint32{}
	var numbers numbering.Table[uint32]
	for i, exchange := range c.Exchanges {
		key := func(k string) string { return fmt.Sprintf("exchanges[%d].%s", i, k) }
		checker.Must(exchange.PointCode > 0 && exchange.PointCode <= maxPointCode, key("point_code"), "%d is not in the range of 1 to %d", exchange.PointCode, maxPointCode)
		checker.Must(!seen[exchange.PointCode], key("point_code"), "%d is given twice", exchange.PointCode)
		seen[exchange.PointCode] = true
		checker.Must(len(exchange.Switch) > 0, key("switch"), "is missing: the addresses of the switch")
		for j, address := range exchange.Switch {
			k := fmt.Sprintf("exchanges[%d].switch[%d]", i, j)
			checker.Address(k, address)
			checker.Must(addresses[address] == 0, k, "%s is already the address of exchange %d", address, addresses[address])
			addresses[address] = exchange.PointCode
		}
		if exchange.PointCode == c.Exchange {
			checker.Must(exchange.Circuits == 0, key("circuits"), "this controller's own exchange has no trunk group to itself")
		} else {
			checker.Must(exchange.Circuits >= 0 && exchange.Circuits <= isup.MaxCIC, key("circuits"), "%d is not in the range of 0 to %d", exchange.Circuits, isup.MaxCIC)
		}
		for j, prefix := range exchange.Prefixes {
			if err := numbers.Add(prefix, exchange.PointCode); err != nil {
				checker.Errorf(fmt.Sprintf("exchanges[%d].prefixes[%d]", i, j), "%v", err)
			}
		}
	}
	checker.Must(len(c.Exchanges) >= 2, "exchanges", "%d exchanges: at least this controller's own and another are required", len(c.Exchanges))
	checker.Must(seen[c.Exchange], "exchanges", "this controller's own exchange %d is missing", c.Exchange)
}

// Controller returns the settings of the call controller.
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
	for _, class := range c.Classes {
		out.Policy.Classes = append(out.Policy.Classes, policy.Class{Aim: class.Aim, Worth: class.Worth, LateWorth: class.LateWorth, Circuits: 1, Repeatable: true})
		controllerClass := controller.Class{Name: class.Name, Patience: class.Patience, Ring: class.Ring}
		for _, category := range class.Categories {
			controllerClass.Categories = append(controllerClass.Categories, isup.Category(category))
		}
		out.Classes = append(out.Classes, controllerClass)
	}
	for _, tenant := range c.Tenants {
		out.Policy.Tenants = append(out.Policy.Tenants, policy.Tenant{Quota: tenant.Quota})
		out.Tenants = append(out.Tenants, tenant.Name)
	}
	out.Exchanges = c.ExchangeList()
	out.HookDeadline = c.Hooks.Deadline
	out.Admission, out.TenantAdmission = admission.Config{Client: c.Limits.Client.limits(), All: c.Limits.All.limits()}, c.Limits.Tenant.limits()
	return out
}

// ExchangeList returns the exchanges for the call controller.
func (c *Config) ExchangeList() []controller.Exchange {
	out := make([]controller.Exchange, 0, len(c.Exchanges))
	for _, exchange := range c.Exchanges {
		out = append(out, controller.Exchange{PointCode: exchange.PointCode, Name: exchange.Name, Address: exchange.Switch[0], Circuits: exchange.Circuits, Prefixes: exchange.Prefixes})
	}
	return out
}

// Tenant returns the index of the tenant of that name, or 0 if there is none.
func (c *Config) Tenant(name string) int {
	return max(0, slices.IndexFunc(c.Tenants, func(t Tenant) bool { return t.Name == name }))
}

// M3UA returns the timers of associations.
func (c *Config) M3UA() m3ua.Timers {
	return m3ua.Timers{Ack: c.Association.Ack, Tries: c.Association.Tries, Beat: c.Association.Beat, BeatLimit: c.Association.BeatLimit}
}

// Check checks settings that were not read from a file; its errors show name as the file.
func (c *Config) Check(name string) error {
	checker := &Checker{name: name}
	c.check(checker)
	return checker.Err()
}
