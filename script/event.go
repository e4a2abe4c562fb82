package script

import (
	"fmt"
	"slices"
	"time"
)

// Call holds the properties of a call that hooks can read.
type Call struct {
	Called, Calling, Class, Tenant string
	Category                       int
	Transit                        bool
	To, Attempts                   int
	Age                            time.Duration
}

// CallEvent returns the event of an arrival or route hook.
func CallEvent(c Call) Event {
	var e Event
	e.S[0], e.S[1], e.S[2], e.S[3] = c.Called, c.Calling, c.Class, c.Tenant
	e.N[0], e.N[1], e.N[2], e.N[3], e.N[4] = int64(c.Category), boolToInt(c.Transit), int64(c.To), int64(c.Attempts), int64(c.Age)
	return e
}

// AttemptEndEvent returns the event of an attempt_end hook.
func AttemptEndEvent(c Call, cause, exchange int, direct bool, after time.Duration) Event {
	e := CallEvent(c)
	e.N[5], e.N[6], e.N[7], e.N[8] = int64(cause), int64(exchange), boolToInt(direct), int64(after)
	return e
}

// FinalEvent returns the event of a final hook.
func FinalEvent(c Call, outcome string, cause, via int, after time.Duration) Event {
	e := CallEvent(c)
	e.S[4] = outcome
	e.N[5], e.N[6], e.N[7] = int64(cause), int64(via), int64(after)
	return e
}

// ListEvent returns the event of a list_change hook.
func ListEvent(code int, state string, cold bool) Event {
	var e Event
	e.N[0], e.N[1], e.S[0] = int64(code), boolToInt(cold), state
	return e
}

// EveryEvent returns the event of an every hook.
func EveryEvent(waiting, open int, offered, established, refused, timedOut uint64) Event {
	var e Event
	e.N[0], e.N[1], e.N[2], e.N[3], e.N[4], e.N[5] = int64(waiting), int64(open), int64(offered), int64(established), int64(refused), int64(timedOut)
	return e
}

// ParseEvent returns the event of a hook from the values of its fields by name, as examples give them: call.called: "820112345".
// Durations are strings such as "1.5s".
func ParseEvent(hook string, fields map[string]any) (Event, error) {
	var e Event
	known, ok := hookFields[hook]
	if !ok {
		return e, fmt.Errorf("%q is no hook", hook)
	}
	for name, v := range fields {
		i := slices.IndexFunc(known, func(f field) bool { return f.object+"."+f.name == name })
		if i < 0 {
			var names []string
			for _, f := range known {
				names = append(names, f.object+"."+f.name)
			}
			return e, fmt.Errorf("%s has no %s%s", hook, name, suggest(name, names))
		}
		f := known[i]
		typeError := fmt.Errorf("%s is %v, not %v", name, v, f.ty)
		switch f.ty.kind {
		case kString:
			s, ok := v.(string)
			if !ok {
				return e, typeError
			}
			e.S[f.slot] = s
		case kBool:
			b, ok := v.(bool)
			if !ok {
				return e, typeError
			}
			e.N[f.slot] = boolToInt(b)
		case kDuration:
			s, ok := v.(string)
			d, err := time.ParseDuration(s)
			if !ok || err != nil {
				return e, typeError
			}
			e.N[f.slot] = int64(d)
		default:
			switch n := v.(type) {
			case int:
				e.N[f.slot] = int64(n)
			case int64:
				e.N[f.slot] = n
			case uint64:
				e.N[f.slot] = int64(n)
			default:
				return e, typeError
			}
		}
	}
	return e, nil
}
