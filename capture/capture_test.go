package capture

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
)

// testFrame returns an IAM frame with CIC i.
func testFrame(i int) []byte {
	called, _ := isup.ParseNumber(4, "820112345")
	return m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 101, DPC: 102, SI: 5, NI: 2,
		User: isup.Append(nil, &isup.Message{Type: isup.IAM, CIC: uint16(i), Category: isup.CategoryOrdinary, TransmissionMedium: 3, Called: called})}})
}

// writeFrames queues n frames of a connection on 127.0.0.1 in alternating directions, then runs the writer until they are written.
func writeFrames(t *testing.T, cfg Config, n int) *Writer {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	a, b := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 5001}, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 2905}
	for i := range n {
		if i%2 == 1 {
			a, b = b, a
		}
		w.Put(time.Unix(1700000000, int64(i)*1000000), a, b, testFrame(i))
	}
	go func() { result <- w.Run(ctx) }()
	cancel()
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	return w
}

// captureFiles returns the pcapng files in a directory, oldest first.
func captureFiles(t *testing.T, dir string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*.pcapng"))
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// Guards against data lost or altered by the conversion to SCTP packets: frames, times and ports must read back as written.
func TestWrittenFramesReadBackUnchanged(t *testing.T) {
	dir := t.TempDir()
	if w := writeFrames(t, Config{dir, 1 << 20, 3, 1000}, 101); w.Written() != 101 || w.Dropped() != 0 {
		t.Fatalf("%d frames written, %d dropped; want 101 and 0", w.Written(), w.Dropped())
	}
	i := 0
	for _, name := range captureFiles(t, dir) {
		if err := Read(name, func(got Frame) error {
			if !bytes.Equal(got.Data, testFrame(i)) {
				t.Errorf("frame %d read back as %x", i, got.Data)
			}
			if ms := got.At.Sub(time.Unix(1700000000, 0)).Milliseconds(); ms != int64(i) {
				t.Errorf("frame %d has time %d ms, want its number", i, ms)
			}
			if port := got.To.Port(); (port == 2905) != (i%4 == 0 || i%4 == 3) && (port == 2905) != (i%2 == 0) {
				t.Errorf("frame %d has destination port %d", i, port)
			}
			i++
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	if i != 101 {
		t.Errorf("%d frames read, want 101", i)
	}
}

// Guards against a capture that fills the disk or removes the wrong files: files must stay near their maximum size and number, and
// the newest must be kept.
func TestRingKeepsNewestFilesWithinLimits(t *testing.T) {
	dir := t.TempDir()
	writeFrames(t, Config{dir, 4096, 3, 1000}, 500)
	names := captureFiles(t, dir)
	if len(names) != 3 {
		t.Fatalf("files %v, want 3", names)
	}
	for _, x := range names {
		if info, _ := os.Stat(x); info.Size() > 6000 {
			t.Errorf("%s has %d octets, want at most 6000", x, info.Size())
		}
	}
	var last []byte
	for _, x := range names {
		if err := Read(x, func(x Frame) error { last = append(last[:0], x.Data...); return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(last, testFrame(499)) {
		t.Error("the last frame in the files is not the newest")
	}
}

// Guards against Put blocking its caller when the disk is slower than the frames arrive: frames above the queue's size are dropped.
func TestFullQueueDropsFramesWithoutBlocking(t *testing.T) {
	if w := writeFrames(t, Config{t.TempDir(), 1 << 20, 1, 10}, 100); w.Written() != 10 || w.Dropped() != 90 {
		t.Errorf("%d frames written, %d dropped; want 10 and 90", w.Written(), w.Dropped())
	}
}

// Guards against a panic or lost frames when a file was truncated by a crash: wherever it ends, all complete frames must be read.
func TestTruncatedFileYieldsItsCompleteFrames(t *testing.T) {
	dir := t.TempDir()
	writeFrames(t, Config{dir, 1 << 20, 1, 100}, 20)
	content, err := os.ReadFile(captureFiles(t, dir)[0])
	if err != nil {
		t.Fatal(err)
	}
	truncated := filepath.Join(dir, "cut")
	most := 0
	for size := 0; size < len(content); size += 7 {
		if err := os.WriteFile(truncated, content[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		count := 0
		Read(truncated, func(x Frame) error { count++; return nil })
		if count < most {
			t.Fatalf("%d octets give %d frames, although fewer octets gave %d", size, count, most)
		}
		most = count
	}
	if most < 18 {
		t.Errorf("%d frames read without the last octets of the file, want at least 18 of 20", most)
	}
}

// Guards against a capture that starts although its limits are too small or its directory cannot be created.
func TestNewRejectsInvalidConfig(t *testing.T) {
	if _, err := New(Config{t.TempDir(), 10, 1, 1}); err == nil {
		t.Error("a file size of 10 octets was accepted")
	}
	file := filepath.Join(t.TempDir(), "x")
	os.WriteFile(file, nil, 0o600)
	if _, err := New(Config{filepath.Join(file, "y"), 1 << 20, 1, 1}); err == nil {
		t.Error("a directory below a regular file was accepted")
	}
}
