package day

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbergauge/umbergauge/internal/memnet"
)

// play plays a day in exact time, without sockets.
func play(t *testing.T, d *Day, change ...func(*Options)) Result {
	t.Helper()
	var res Result
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		opt := Options{Dial: n.Dial, Listen: n.Listen, Log: zerolog.Nop(), Slack: 2 * time.Millisecond}
		for _, f := range change {
			f(&opt)
		}
		var err error
		if res, err = Play(context.Background(), d, opt); err != nil {
			t.Fatal(err)
		}
	})
	for i, f := range res.Report.Broken {
		if i == 10 {
			t.Errorf("... and %d more", len(res.Report.Broken)-10)
			break
		}
		t.Errorf("%v", f)
	}
	return res
}

func TestQuietDay(t *testing.T) {
	res := play(t, QuietDay())
	t.Logf("%+v", res.Report.Whole)
	if res.Report.Whole.Share < 0.95 {
		t.Errorf("service %.3f", res.Report.Whole.Share)
	}
}
