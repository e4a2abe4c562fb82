package wire

import (
	"bytes"
	"strings"
	"testing"
)

const helloLine = `["Hello",3,7,{"family_info":{"self_no":0,"guard":200,"shape":"mesh","mean_hold":[10000],` +
	`"class_width":[1]},"feedback":{"fields":["free","size","new_thing"],"how":"inline"},"limits":{"max_attempts":4},` +
	`"replicas_of_me":2,"unknown":{"x":[1]},"request_classes":[{"aim":1500,"credit":1,"idempotency":"read_like"}]}]`

const poolLine = `["Pool",0,[[0,null,0,1,"Ready","10.0.0.1:1",0],[1,6100.0,0,1.5,"Ready","10.0.0.2:2",1]]]`

const demandLine = `["Demand",3,1564119492,null,1,12000.5,null,0,"tel-1",1,0,0]`

func batch(lines ...string) string {
	return "[\"Clock\",9000.25,1]\n" + strings.Join(lines, "\n") + "\n[\"OverToYou\"]\n"
}

// TestServeAnswersValidInputAndReportsLineOfInvalid guards against valid input that gets a wrong answer, and against malformed
// input that is accepted or reported without its line or reason.
func TestServeAnswersValidInputAndReportsLineOfInvalid(t *testing.T) {
	start := batch(helloLine, poolLine, `["Targets",3,"C",0,0]`, `["Echo",3,0,"10.0.0.2:2",0,{"free":5,"size":9}]`, demandLine)
	set := `["Send",3,1564119492,1500,"10.0.0.2:2"]`
	for name, tc := range map[string]struct{ in, out, err string }{
		"no input":    {"", "", ""},
		"empty batch": {batch(), `["Ack",1]`, ""},
		"one call":    {start, set, ""},
		"restart":     {start + batch(`["PowerOff",3]`, helloLine), `["Ack",1]`, ""},
		"established": {start + batch(`["Established",3,1564119492,9.5,"10.0.0.2:2",0]`), set, ""},
		"ended":       {start + batch(`["Returned",3,1564119492,true,9.5,0,null,0,"10.0.0.2:2",null]`), set, ""},
		"refused with retry-after": {start + batch(`["Returned",3,1564119492,false,9.5,0,16003,8,"10.0.0.2:2",null]`),
			`["Bounce",3,1564119492,1000]`, ""},
		"mail":                               {start + batch(`["Mail",3,1,"hi"]`), set, ""},
		"not JSON":                           {"[\"Clock\",1", "", "line 1: not JSON"},
		"no message":                         {"{}\n", "", "not a message"},
		"outside a batch":                    {demandLine + "\n", "", "outside a batch"},
		"input ends within a batch":          {"[\"Clock\",1,1]\n", "", "within a batch"},
		"too few values, unknown controller": {batch(`["Demand",3]`), "", "unknown controller"},
		"too few values":                     {start + batch(`["Demand",3,1]`), "", "values"},
		"unknown name":                       {start + batch(`["What",3]`), "", "unknown message"},
		"unknown call":                       {start + batch(`["Established",3,5,1,"10.0.0.2:2",0]`), set, ""},
		"truncated":                          {"[\"Clock\",1,1]\n[\"Demand\",3,15", "", "line 2: not JSON"},
		"unknown code":                       {start + batch(`["Returned",3,1564119492,true,1,0,null,77,"10.0.0.2:2",null]`), "", "code 77"},
		"unknown form":                       {start + batch(`["Targets",3,"Q",0,0]`), "", "unknown form"},
		"unknown list":                       {start + batch(`["Targets",3,"F",0,9]`), "", "never sent"},
		"unknown health state":               {batch(`["Pool",0,[[0,null,0,1,"Odd","a:1",0]]]`), "", "unknown health"},
		"no settings":                        {batch(`["Hello",3,7,null]`), "", "settings are missing"},
		"no classes":                         {batch(`["Hello",3,7,{}]`), "", "no call classes"},
		"negative duration":                  {batch(strings.Replace(helloLine, `"guard":200`, `"guard":-1`, 1)), "", "negative"},
		"number out of range":                {batch(strings.Replace(helloLine, `"guard":200`, `"guard":1e300`, 1)), "", "guard is not a number in the range"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := Serve(strings.NewReader(tc.in), &out)
			if tc.err == "" && err != nil || tc.err != "" && (err == nil || !strings.Contains(err.Error(), tc.err)) {
				t.Fatalf("error %v, want %q", err, tc.err)
			}
			if err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("the error text has several lines: %q", err)
			}
			if !strings.Contains(out.String(), tc.out) {
				t.Errorf("answer %q, want %q", out.String(), tc.out)
			}
		})
	}
}

// FuzzServe guards against a panic: whatever the input, Serve must return, with or without an error.
func FuzzServe(f *testing.F) {
	f.Add(batch(helloLine, poolLine, `["Targets",3,"C",0,0]`, demandLine))
	f.Add(batch(helloLine, poolLine, `["Targets",3,"D",0,0]`, demandLine, `["Wake",3,1564119492]`, `["Dropped",3,1564119492]`))
	f.Add(batch(helloLine, `["Returned",3,1,false,1,0,18,8,"a:1",{"free":-1}]`))
	f.Add("[\"Clock\",1e15,18446744073709551615]\n[\"OverToYou\"]\n")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		_ = Serve(strings.NewReader(in), &out) // an error is acceptable for any input, a panic is not
	})
}
