package wire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"github.com/umbergauge/umbergauge/policy"
)

// Settings are the settings that a controller receives at its start, from the simulator or from the platform: those of package
// policy, and those of the code that carries out its actions.
type Settings struct {
	Policy  policy.Config // without Seed
	Classes []string      // names, in the order of Policy.Classes
	Zones   []string

	MaxGiveUpTime  time.Duration // longest time, over all classes, before a caller gives up
	ConnectTimeout time.Duration // longest time for setting up a connection
	Keepalive      time.Duration // idle connections are closed after this time; 0: not given
	Probes         bool          // probes of switches are allowed
	RetryAfter     bool          // a refusal may carry a retry-after time
	MaxRetryAfter  time.Duration // the longest retry-after time
	MaxOpenCalls   int           // limit of open calls; 0: not given

	reportFields []reportField // the known fields of load reports
}

// Decode decodes the settings object. A key that is missing or null gets the default in the code below, in most cases zero.
func Decode(object *fastjson.Value) (*Settings, error) {
	if object == nil || object.Type() != fastjson.TypeObject {
		return &Settings{}, errors.New("settings: not an object")
	}
	var firstError error
	number := func(object *fastjson.Value, missing float64, path ...string) float64 {
		x := object.Get(path...)
		if x == nil || x.Type() == fastjson.TypeNull {
			return missing
		}
		f, err := x.Float64()
		if (err != nil || math.IsNaN(f) || math.Abs(f) > 1e15) && firstError == nil {
			firstError = fmt.Errorf("settings: %s is not a number in the range of -1e15 to 1e15", path[len(path)-1])
		}
		return f
	}
	decoded := &Settings{
		ConnectTimeout: durationOf(number(object, 0, "limits", "connect_timeout")),
		Keepalive:      durationOf(number(object, 0, "limits", "keepalive")),
		Probes:         object.GetBool("limits", "probes"),
		RetryAfter:     object.GetBool("limits", "retry_after"),
		MaxRetryAfter:  durationOf(number(object, 0, "limits", "max_retry_after")),
		MaxOpenCalls:   int(number(object, 0, "limits", "open_cap")),
		Policy: policy.Config{
			Self:            int(number(object, -1, "family_info", "self_no")),
			Controllers:     int(number(object, 1, "replicas_of_me")),
			Index:           int(number(object, 0, "position")),
			Pools:           string(object.GetStringBytes("family_info", "shape")) == "pools",
			SubscribeToList: string(object.GetStringBytes("discovery")) == "ask",
			OverQuotaWorth:  number(object, 1, "over_share_worth"),
			MaxAttempts:     int(number(object, 1, "limits", "max_attempts")),
			Guard:           durationOf(number(object, 0, "family_info", "guard")),
			RetransmitAfter: durationOf(number(object, 0, "family_info", "repeat")),
			MarksRedials:    object.GetBool("callers", "marks_retry"),
			WarmUp:          durationOf(number(object, 0, "obligations", "warm_up")),
			ColdShare:       number(object, 1, "obligations", "cold_share"),
			CrashMultiple:   number(object, 1, "obligations", "fall_multiple"),
			CrashSpan:       durationOf(number(object, 0, "obligations", "overload_for")),
		},
	}
	for index, entry := range object.GetArray("request_classes") {
		class := policy.Class{
			Aim: durationOf(number(entry, 0, "aim")), Worth: number(entry, 1, "credit"), LateWorth: number(entry, 0, "late_worth"),
			Circuits: number(object, 1, "family_info", "class_width", fmt.Sprint(index)),
		}
		class.Repeatable = string(entry.GetStringBytes("idempotency")) == "read_like"
		for _, p := range object.GetArray("family_info", "pools_by_class", fmt.Sprint(index)) {
			class.Pools = append(class.Pools, p.GetInt())
		}
		decoded.Policy.Classes = append(decoded.Policy.Classes, class)
		decoded.Classes = append(decoded.Classes, string(entry.GetStringBytes("name")))
		decoded.MaxGiveUpTime = max(decoded.MaxGiveUpTime, durationOf(number(entry, 0, "give_up")))
	}
	for _, tenant := range object.GetArray("accounts") {
		decoded.Policy.Tenants = append(decoded.Policy.Tenants, policy.Tenant{Quota: number(tenant, 0, "quota_per_s")})
	}
	for _, zone := range object.GetArray("zones") {
		decoded.Zones = append(decoded.Zones, string(zone.GetStringBytes()))
	}
	for _, f := range object.GetArray("feedback", "fields") {
		name := string(f.GetStringBytes())
		if set, ok := reportFieldByName[name]; ok {
			decoded.reportFields = append(decoded.reportFields, reportField{name, set})
		}
	}
	return decoded, firstError
}

// Report returns a load report with the fields that the settings name. lookUp returns the value of a field by name. A field that
// the settings do not name, that is missing, or whose value is negative or 1e15 and more is unknown.
func (s *Settings) Report(lookUp func(name string) (float64, bool)) policy.Report {
	return readReport(s.reportFields, lookUp)
}

// readReport builds a load report from the values of fields that lookUp finds; values below 0, or 1e15 and more, stay unknown.
func readReport(fields []reportField, lookUp func(name string) (float64, bool)) policy.Report {
	report := unknownReport
	for _, field := range fields {
		if value, ok := lookUp(field.name); ok && value >= 0 && value < 1e15 {
			field.set(&report, value)
		}
	}
	return report
}
