package wire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"github.com/umbergauge/umbergauge/policy"
)

// Settings are what an instance is told at its start, on the simulator's wire and on the platform alike: the module's part,
// and what those who carry its decisions out keep to.
type Settings struct {
	Policy  policy.Config // without Seed
	Classes []string      // names, in the order of Brain.Classes
	Zones   []string

	MaxPatience    time.Duration // longest time for which callers of a class wait
	ConnectTimeout time.Duration // a connection that is not up by then has failed
	Keepalive      time.Duration // idle connections are closed after this; 0: not told
	Probes         bool          // switches may be tested
	RetryAfter     bool          // callers may be told how long to stay away ...
	MaxRetryAfter  time.Duration // ... up to so long
	MaxOpenCalls   int           // open calls at most; 0: not told

	fields []field // meaning of the load report's values
}

// Decode translates the settings object. Keys that are missing or null have the value zero unless stated here.
func Decode(v *fastjson.Value) (*Settings, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return &Settings{}, errors.New("settings: not an object")
	}
	var wrong error
	num := func(v *fastjson.Value, missing float64, path ...string) float64 {
		x := v.Get(path...)
		if x == nil || x.Type() == fastjson.TypeNull {
			return missing
		}
		f, err := x.Float64()
		if (err != nil || math.IsNaN(f) || math.Abs(f) > 1e15) && wrong == nil {
			wrong = fmt.Errorf("settings: %s is not a fit number", path[len(path)-1])
		}
		return f
	}
	s := &Settings{
		ConnectTimeout: millis(num(v, 0, "limits", "connect_timeout")),
		Keepalive:      millis(num(v, 0, "limits", "keepalive")),
		Probes:         v.GetBool("limits", "probes"),
		RetryAfter:     v.GetBool("limits", "retry_after"),
		MaxRetryAfter:  millis(num(v, 0, "limits", "max_retry_after")),
		MaxOpenCalls:   int(num(v, 0, "limits", "open_cap")),
		Policy: policy.Config{
			Self:            int(num(v, -1, "family_info", "self_no")),
			Controllers:     int(num(v, 1, "replicas_of_me")),
			Index:           int(num(v, 0, "position")),
			Pools:           string(v.GetStringBytes("family_info", "shape")) == "pools",
			SubscribeToList: string(v.GetStringBytes("discovery")) == "ask",
			OverQuotaWorth:  num(v, 1, "over_share_worth"),
			MaxAttempts:     int(num(v, 1, "limits", "max_attempts")),
			Guard:           millis(num(v, 0, "family_info", "guard")),
			RetransmitAfter: millis(num(v, 0, "family_info", "repeat")),
			MarksRedials:    v.GetBool("callers", "marks_retry"),
			WarmUp:          millis(num(v, 0, "obligations", "warm_up")),
			ColdShare:       num(v, 1, "obligations", "cold_share"),
			CrashMultiple:   num(v, 1, "obligations", "fall_multiple"),
			CrashSpan:       millis(num(v, 0, "obligations", "overload_for")),
		},
	}
	for n, c := range v.GetArray("request_classes") {
		class := policy.Class{
			Aim: millis(num(c, 0, "aim")), Worth: num(c, 1, "credit"), LateWorth: num(c, 0, "late_worth"),
			Circuits: num(v, 1, "family_info", "class_width", fmt.Sprint(n)),
		}
		class.Repeatable = string(c.GetStringBytes("idempotency")) == "read_like"
		for _, p := range v.GetArray("family_info", "pools_by_class", fmt.Sprint(n)) {
			class.Pools = append(class.Pools, p.GetInt())
		}
		s.Policy.Classes = append(s.Policy.Classes, class)
		s.Classes = append(s.Classes, string(c.GetStringBytes("name")))
		s.MaxPatience = max(s.MaxPatience, millis(num(c, 0, "give_up")))
	}
	for _, t := range v.GetArray("accounts") {
		s.Policy.Tenants = append(s.Policy.Tenants, policy.Tenant{Quota: num(t, 0, "quota_per_s")})
	}
	for _, z := range v.GetArray("zones") {
		s.Zones = append(s.Zones, string(z.GetStringBytes()))
	}
	for _, f := range v.GetArray("feedback", "fields") {
		name := string(f.GetStringBytes())
		if set, ok := reportFields[name]; ok {
			s.fields = append(s.fields, field{name, set})
		}
	}
	return s, wrong
}

// Report reads a load report whose values are looked up by the names that the settings list; others are unknown.
func (s *Settings) Report(value func(name string) (float64, bool)) policy.Report {
	return reportOf(s.fields, value)
}

func reportOf(fields []field, value func(name string) (float64, bool)) policy.Report {
	r := unknownReport
	for _, f := range fields {
		if n, ok := value(f.name); ok && n >= 0 && n < 1e15 {
			f.set(&r, n)
		}
	}
	return r
}
