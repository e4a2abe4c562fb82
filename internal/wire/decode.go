package wire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"github.com/umbergauge/umbergauge/policy"
)

// args are the values of one message. The first thing wrong with them stays in err.
type inputMessage struct {
	name   string
	values []*fastjson.Value
	err    error
}

// message parses one line.
func (h *host) parseMessage(text []byte) (*inputMessage, error) {
	values, err := h.parser.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %s", clip(string(text)))
	}
	list, err := values.Array()
	if err != nil || len(list) == 0 || list[0].Type() != fastjson.TypeString {
		return nil, errors.New("not a message: an array that begins with a name is wanted")
	}
	return &inputMessage{name: string(list[0].GetStringBytes()), values: list[1:]}, nil
}

// clip keeps foreign text short enough for a message of one line.
func clip(s string) string {
	if len(s) > 40 {
		s = s[:40] + "..."
	}
	return fmt.Sprintf("%q", s)
}

func (a *inputMessage) fail(format string, values ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, values...)
	}
}

func (a *inputMessage) requireValues(n int) {
	if len(a.values) < n {
		a.fail("%s has %d values, %d are wanted", clip(a.name), len(a.values), n)
	}
}

// value is value i, or nil where it is missing or null.
func (a *inputMessage) value(i int) *fastjson.Value {
	if i >= len(a.values) || a.values[i].Type() == fastjson.TypeNull {
		return nil
	}
	return a.values[i]
}

// number reads an optional number.
func (a *inputMessage) optionalNumber(i int, missing float64) float64 {
	v := a.value(i)
	if v == nil {
		return missing
	}
	f, err := v.Float64()
	if err != nil || math.IsNaN(f) || math.Abs(f) > 1e15 {
		a.fail("value %d of %s is not a fit number", i, clip(a.name))
		return missing
	}
	return f
}

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

// unsigned reads a whole number of up to 64 bits.
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

func (a *inputMessage) call(i int) uint64 {
	id := a.unsigned(i)
	if id >= 1<<32 {
		a.fail("value %d of %s is no call id", i, clip(a.name))
	}
	return id
}

func (a *inputMessage) milliseconds(i int) time.Duration {
	if a.value(i) == nil {
		a.fail("value %d of %s is missing", i, clip(a.name))
		return 0
	}
	return durationOf(a.optionalNumber(i, 0))
}

func durationOf(ms float64) time.Duration {
	if math.Abs(ms) > 9e12 { // keeps within a Duration
		ms = math.Copysign(9e12, ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func (a *inputMessage) text(i int) string {
	v := a.value(i)
	if v == nil || v.Type() != fastjson.TypeString {
		a.fail("value %d of %s is not a text", i, clip(a.name))
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

// healths maps the list's states.
var healthByName = map[string]policy.Health{"Ready": policy.Ready, "Terminating": policy.Draining, "Gone": policy.Gone}

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
				entry.fail("unknown health %s", clip(entry.text(4)))
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

// field sets one value of a load report.
type reportField struct {
	name string
	set  func(*policy.Report, float64)
}

// reportFields maps the names that load reports may use.
var reportFieldByName = map[string]func(*policy.Report, float64){
	"free":      func(r *policy.Report, f float64) { r.Free = f },
	"size":      func(r *policy.Report, f float64) { r.Size = f },
	"cpu_share": func(r *policy.Report, f float64) { r.Utilisation = f },
	"pending":   func(r *policy.Report, f float64) { r.Queue = f },
	"can_take":  func(r *policy.Report, f float64) { r.Rate = f },
	"svc_ms":    func(r *policy.Report, f float64) { r.Wait = f / 1000 },
	"hold_back": func(r *policy.Report, f float64) { r.Reduction = f },
}

var unknownReport = policy.Report{Free: -1, Size: -1, Utilisation: -1, Queue: -1, Rate: -1, Wait: -1, Reduction: -1}

// report reads a load report, or nil where there is none.
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

// config translates the settings of Hello.
func (a *inputMessage) settings(i int) (policy.Config, []reportField) {
	v := a.value(i)
	if v == nil {
		a.fail("Hello has no settings")
		return policy.Config{}, nil
	}
	s, err := Decode(v)
	if err != nil {
		a.fail("%w", err)
	}
	return s.Policy, s.reportFields
}
