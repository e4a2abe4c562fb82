package script

// builtin is a built-in function or action of the language. Its example is on the reference page; a test compiles and runs it.
type builtin struct {
	name    string
	object  string // "rate", "top" or "counter" for methods, else empty
	args    []Type // kNone: any type that the operation accepts
	result  Type
	hooks   []string // kinds of hooks that can use it; empty: all hooks and functions
	op      op
	doc     string
	example string // a program that uses it
}

// anyList and anyMap are the types of arguments that take a list or map of any element type.
var anyList = Type{kind: kList}
var anyMap = Type{kind: kMap}

// builtins are all built-ins in the order of the reference page.
var builtins = []*builtin{
	{name: "refuse", args: []Type{tyInt}, hooks: []string{"arrival"}, op: opRefuse, doc: "Refuses the call at once with a cause value of Q.850, 1 to 127. The module is not asked.",
		example: "on arrival {\n\tif call.called matches 8299* {\n\t\trefuse(21)\n\t}\n}"},
	{name: "set_class", args: []Type{tyString}, hooks: []string{"arrival"}, op: opSetClass, doc: "Makes the call one of another class of the settings.",
		example: "on arrival {\n\tif call.called matches 8201* {\n\t\tset_class(\"storm-tile\")\n\t}\n}"},
	{name: "set_tenant", args: []Type{tyString}, hooks: []string{"arrival"}, op: opSetTenant, doc: "Makes the call one of another tenant of the settings.",
		example: "on arrival {\n\tif call.calling matches 9012* {\n\t\tset_tenant(\"city\")\n\t}\n}"},
	{name: "rewrite", args: []Type{tyString}, hooks: []string{"arrival"}, op: opRewrite, doc: "Replaces the called number: 1 to 24 digits.",
		example: "on arrival {\n\tif call.called == \"112\" {\n\t\trewrite(\"820100112\")\n\t}\n}"},
	{name: "exclude", args: []Type{tyInt}, hooks: []string{"route"}, op: opExclude, doc: "Keeps this call away from an exchange, as destination or tandem. Up to 32.",
		example: "on route {\n\tif call.class == \"map-tile\" {\n\t\texclude(103)\n\t}\n}"},
	{name: "treat_as", args: []Type{tyInt}, hooks: []string{"attempt_end"}, op: opTreatAs, doc: "Lets the module read the cause of a refused attempt as another: 17, 34, 41 and 42 can be.",
		example: "on attempt_end {\n\tif end.cause == 47 {\n\t\ttreat_as(42)\n\t}\n}"},
	{name: "tag", args: []Type{tyString}, hooks: []string{"arrival", "final"}, op: opTag, doc: "Puts a word on the call's log line. Up to 16 of 64 octets.",
		example: "on arrival {\n\ttag(\"storm desk\")\n}"},
	{name: "log", args: []Type{tyString, tyNone}, hooks: []string{"final", "list_change", "every"}, op: opLog, doc: "Adds a field to the log line. Up to 16.",
		example: "on final {\n\tlog(\"via\", result.via)\n}"},
	{name: "len", args: []Type{tyNone}, result: tyInt, op: opLen, doc: "Octets of a string, elements of a list or map.",
		example: "on arrival {\n\tif len(call.called) < 6 {\n\t\trefuse(28)\n\t}\n}"},
	{name: "substr", args: []Type{tyString, tyInt, tyInt}, result: tyString, op: opSubstr, doc: "Part of a string from the first place up to, without it, the second; places beyond the end are taken for the end.",
		example: "on arrival {\n\trewrite(\"8201\" + substr(call.called, 4, 24))\n}"},
	{name: "append", args: []Type{anyList, tyNone}, result: tyNone, op: opAppend, doc: "Adds an element to a list, which grows in place. Up to 1024 elements.",
		example: "on route {\n\tlet busy = [103]\n\tappend(busy, 104)\n\tfor x in busy {\n\t\texclude(x)\n\t}\n}"},
	{name: "keys", args: []Type{anyMap}, result: listOf(tyString), op: opKeys, doc: "Keys of a map, in the order they were put in.",
		example: "on final {\n\tlet m = {\"a\": 1, \"b\": 2}\n\tfor k in keys(m) {\n\t\tlog(k, m[k])\n\t}\n}"},
	{name: "min", args: []Type{tyInt, tyInt}, result: tyInt, op: opMinI, doc: "The lesser of two ints.", example: "on final {\n\tlog(\"tries\", min(call.attempts, 3))\n}"},
	{name: "max", args: []Type{tyInt, tyInt}, result: tyInt, op: opMaxI, doc: "The greater of two ints.", example: "on final {\n\tlog(\"tries\", max(call.attempts, 1))\n}"},
	{name: "int", args: []Type{tyFloat}, result: tyInt, op: opFloatToInt, doc: "Whole part of a float.", example: "on final {\n\tlog(\"n\", int(2.5))\n}"},
	{name: "float", args: []Type{tyInt}, result: tyFloat, op: opIntToFloat, doc: "An int as float.", example: "on final {\n\tlog(\"share\", float(call.attempts) / 4.0)\n}"},
	{name: "text", args: []Type{tyNone}, result: tyString, op: opText, doc: "Any int, float, bool, duration or string as string.", example: "on final {\n\ttag(\"via \" + text(result.via))\n}"},
	{name: "seconds", args: []Type{tyDuration}, result: tyFloat, op: opSeconds, doc: "A duration in seconds.", example: "on final {\n\tlog(\"s\", seconds(result.after))\n}"},
	{object: "rate", name: "add", args: []Type{tyString}, op: opRateAdd, doc: "Counts one for a key.",
		example: "rate calls(window 10s, keys 500)\non arrival {\n\tcalls.add(call.called)\n}"},
	{object: "rate", name: "per_second", args: []Type{tyString}, result: tyFloat, op: opRateGet, doc: "Rate of a key over the window. When more keys come than it has room for, the slowest are forgotten.",
		example: "rate calls(window 10s)\non arrival {\n\tcalls.add(call.called)\n\tif calls.per_second(call.called) > 20.0 {\n\t\trefuse(42)\n\t}\n}"},
	{object: "top", name: "add", args: []Type{tyString}, op: opTopAdd, doc: "Counts one for a key.", example: "top talkers(keys 100)\non arrival {\n\ttalkers.add(call.calling)\n}"},
	{object: "top", name: "count", args: []Type{tyString}, result: tyInt, op: opTopCount, doc: "Count of a key, never too low and at most the whole divided by keys too high; 0 for one that is not kept.",
		example: "top talkers(keys 100)\non arrival {\n\ttalkers.add(call.calling)\n\tif talkers.count(call.calling) > 1000 {\n\t\ttag(\"talker\")\n\t}\n}"},
	{object: "top", name: "most", args: []Type{tyInt}, result: listOf(tyString), op: opTopMost, doc: "The keys counted most, the most first.",
		example: "top talkers(keys 100)\nevery 10s {\n\tfor k in talkers.most(3) {\n\t\tlog(\"talker\", k)\n\t}\n}"},
	{object: "counter", name: "add", args: []Type{tyInt}, op: opCounterAdd, doc: "Adds to the counter.", example: "counter storms\non arrival {\n\tstorms.add(1)\n}"},
	{object: "counter", name: "value", result: tyInt, op: opCounterGet, doc: "The counter's value.", example: "counter storms\nevery 5s {\n\tlog(\"storms\", storms.value())\n}"},
}

// Kinds of hooks.
const (
	Arrival    = "arrival"
	Route      = "route"
	AttemptEnd = "attempt_end"
	Final      = "final"
	ListChange = "list_change"
	Every      = "every"
)

// HookNames are all kinds of hooks, every last.
var HookNames = []string{Arrival, Route, AttemptEnd, Final, ListChange, Every}

// field is a field of one of an event's objects.
type field struct {
	object, name string
	ty           Type
	slot         int // index in Event.S for strings, in Event.N for all other types
	doc          string
}

// callFields are the fields of all hooks that concern a call.
var callFields = []field{
	{"call", "called", tyString, 0, "called number, digits"},
	{"call", "calling", tyString, 1, "calling number, digits; empty if not given"},
	{"call", "class", tyString, 2, "class of the settings"},
	{"call", "tenant", tyString, 3, "tenant of the settings; empty without tenants"},
	{"call", "category", tyInt, 0, "calling party's category"},
	{"call", "transit", tyBool, 1, "sent here by another exchange"},
	{"call", "to", tyInt, 2, "exchange of the called number; 0: none"},
	{"call", "attempts", tyInt, 3, "attempts so far"},
	{"call", "age", tyDuration, 4, "since the call came"},
}

// hookFields are the fields of each hook's event.
var hookFields = map[string][]field{
	Arrival: callFields,
	Route:   callFields,
	AttemptEnd: append(callFields[:len(callFields):len(callFields)],
		field{"end", "cause", tyInt, 5, "cause of the REL that ended the attempt"},
		field{"end", "exchange", tyInt, 6, "the attempt's exchange"},
		field{"end", "direct", tyBool, 7, "it was the destination"},
		field{"end", "after", tyDuration, 8, "since the attempt was sent"}),
	Final: append(callFields[:len(callFields):len(callFields)],
		field{"result", "outcome", tyString, 4, "stands, refused, failed, left, finished or cut"},
		field{"result", "cause", tyInt, 5, "cause value, 0 for stands"},
		field{"result", "via", tyInt, 6, "exchange of the last attempt; 0: none"},
		field{"result", "after", tyDuration, 7, "since the call came"}),
	ListChange: {
		{"exchange", "code", tyInt, 0, "point code"},
		{"exchange", "cold", tyBool, 1, "it has just started"},
		{"exchange", "state", tyString, 0, "ready, draining or gone"},
	},
	Every: {
		{"system", "waiting", tyInt, 0, "calls owed an answer"},
		{"system", "open", tyInt, 1, "open calls"},
		{"system", "offered", tyInt, 2, "calls offered since the start"},
		{"system", "stood", tyInt, 3, "calls that stood since the start"},
		{"system", "refused", tyInt, 4, "calls refused since the start"},
		{"system", "timed_out", tyInt, 5, "attempts that timed out since the start"},
	},
}

// Sizes of an Event: the highest slot of hookFields in each bank, plus one.
const (
	eventInts    = 9
	eventStrings = 5
)
