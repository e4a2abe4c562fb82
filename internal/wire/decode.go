package wire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"github.com/umbergauge/umbergauge/policy"
)

// inputMessage is one received message: its name and values. Its methods decode single values and record the first error in err.
type inputMessage struct {
	name   string
	values []*fastjson.Value
	err    error
}

// parseMessage parses one line: an array of a name and values.
func (h *host) parseMessage(text []byte) (*inputMessage, error) {
	values, err := h.parser.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %s", clip(string(text)))
	}
	list, err := values.Array()
	if err != nil || len(list) == 0 || list[0].Type() != fastjson.TypeString {
		return nil, errors.New("not a message: expected an array that begins with a name")
	}
	return &inputMessage{name: string(list[0].GetStringBytes()), values: list[1:]}, nil
}

// clip quotes received text for an error message and shortens it to 40 octets.
func clip(s string) string {
	if len(s) > 40 {
		s = s[:40] + "..."
	}
	return fmt.Sprintf("%q", s)
}

// fail records an error unless there is one already.
func (a *inputMessage) fail(format string, values ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, values...)
	}
}

// requireValues records an error if the message has fewer than n values.
func (a *inputMessage) requireValues(n int) {
	if len(a.values) < n {
		a.fail("%s has %d values, expected at least %d", clip(a.name), len(a.values), n)
	}
}

// value returns value i, or nil if it is missing or null.
func (a *inputMessage) value(i int) *fastjson.Value {
	if i >= len(a.values) || a.values[i].Type() == fastjson.TypeNull {
		return nil
	}
	return a.values[i]
}

// optionalNumber returns value i as a number of at most 1e15 in magnitude, or missing if there is none.
func (a *inputMessage) optionalNumber(i int, missing float64) float64 {
	v := a.value(i)
	if v == nil {
		return missing
	}
	f, err := v.Float64()
	if err != nil || math.IsNaN(f) || math.Abs(f) > 1e15 {
		a.fail("value %d of %s is not a number in the range of -1e15 to 1e15", i, clip(a.name))
		return missing
	}
	return f
}

// integer returns value i, which must be a whole number.
func (a *inputMessage) integer(i int) int64 {
	if a.value(i) == nil {
		a.fail("value %d of %s is missing", i, clip(a.name))
		return 0
	}
	f := a.optionalNumber(i, 0)
	if f != math.Trunc(f) {
		a.fail("value %d of %s is not a whole number", i, clip(a.name))
	}
	return int64(f)
}

// unsigned returns value i as an unsigned integer of 64 bits.
func (a *inputMessage) unsigned(i int) uint64 {
	v := a.value(i)
	if v == nil {
		a.fail("value %d of %s is missing", i, clip(a.name))
		return 0
	}
	u, err := v.Uint64()
	if err != nil {
		a.fail("value %d of %s is not a whole number", i, clip(a.name))
	}
	return u
}

// call returns value i as a call identifier of 32 bits.
func (a *inputMessage) call(i int) uint64 {
	id := a.unsigned(i)
	if id >= 1<<32 {
		a.fail("value %d of %s is not a call identifier: it exceeds 32 bits", i, clip(a.name))
	}
	return id
}

// milliseconds returns value i, a number of milliseconds, as a duration.
func (a *inputMessage) milliseconds(i int) time.Duration {
	if a.value(i) == nil {
		a.fail("value %d of %s is missing", i, clip(a.name))
		return 0
	}
	return durationOf(a.optionalNumber(i, 0))
}

// durationOf converts milliseconds, rounded to microseconds.
func durationOf(ms float64) time.Duration {
	if math.Abs(ms) > 9e12 { // the result must fit into a Duration
		ms = math.Copysign(9e12, ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func (a *inputMessage) text(i int) string {
	v := a.value(i)
	if v == nil || v.Type() != fastjson.TypeString {
		a.fail("value %d of %s is not a string", i, clip(a.name))
		return ""
	}
	return string(v.GetStringBytes())
}

func (a *inputMessage) optionalText(i int) string {
	if a.value(i) == nil {
		return ""
	}
	return a.text(i)
}

func (a *inputMessage) boolean(i int) bool {
	v := a.value(i)
	if v == nil || v.Type() != fastjson.TypeTrue && v.Type() != fastjson.TypeFalse {
		a.fail("value %d of %s is not true or false", i, clip(a.name))
		return false
	}
	return v.GetBool()
}

// healthByName maps the states of switches in a list.
var healthByName = map[string]policy.Health{"Ready": policy.Ready, "Terminating": policy.Draining, "Gone": policy.Gone}

// entries returns value i as a list of switches.
func (a *inputMessage) entries(i int) []policy.Entry {
	values := a.value(i)
	if values == nil || values.Type() != fastjson.TypeArray {
		a.fail("value %d of %s is not a list", i, clip(a.name))
		return nil
	}
	items := values.GetArray()
	entries := make([]policy.Entry, 0, len(items))
	for _, item := range items {
		entry := &inputMessage{name: "entry", values: item.GetArray()}
		entry.requireValues(7)
		if entry.err == nil {
			health, ok := healthByName[entry.text(4)]
			if !ok {
				entry.fail("unknown health state %s", clip(entry.text(4)))
			}
			entries = append(entries, policy.Entry{Address: entry.text(5), PointCode: int(entry.integer(6)), Health: health,
				Launched: durationOf(entry.optionalNumber(1, 0))})
		}
		if entry.err != nil {
			a.fail("%s: %w", a.name, entry.err)
			return nil
		}
	}
	return entries
}

// reportField is a field of a load report: its name and how its value is stored.
type reportField struct {
	name string
	set  func(*policy.Report, float64)
}

// reportFieldByName maps the known field names of load reports.
var reportFieldByName = map[string]func(*policy.Report, float64){
	"free":      func(r *policy.Report, f float64) { r.Free = f },
	"size":      func(r *policy.Report, f float64) { r.Size = f },
	"cpu_share": func(r *policy.Report, f float64) { r.Utilisation = f },
	"pending":   func(r *policy.Report, f float64) { r.Queue = f },
	"can_take":  func(r *policy.Report, f float64) { r.Rate = f },
	"svc_ms":    func(r *policy.Report, f float64) { r.Wait = f / 1000 },
	"hold_back": func(r *policy.Report, f float64) { r.Reduction = f },
}

// unknownReport has the value -1, unknown, in all fields.
var unknownReport = policy.Report{Free: -1, Size: -1, Utilisation: -1, Queue: -1, Rate: -1, Wait: -1, Reduction: -1}

// report returns value i as a load report, or nil if there is none.
func (in *instance) report(a *inputMessage, i int) *policy.Report {
	object := a.value(i)
	if object == nil {
		return nil
	}
	if object.Type() != fastjson.TypeObject {
		a.fail("value %d of %s is not a load report", i, clip(a.name))
		return nil
	}
	r := readReport(in.reportFields, func(name string) (float64, bool) {
		field := object.Get(name)
		if field == nil {
			return 0, false
		}
		number, err := field.Float64()
		return number, err == nil
	})
	return &r
}

// settings decodes the settings in a Hello message.
func (a *inputMessage) settings(i int) (policy.Config, []reportField) {
	v := a.value(i)
	if v == nil {
		a.fail("Hello: settings are missing")
		return policy.Config{}, nil
	}
	s, err := Decode(v)
	if err != nil {
		a.fail("%w", err)
	}
	return s.Policy, s.reportFields
}
