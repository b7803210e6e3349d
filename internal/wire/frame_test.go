package wire

import (
	"bytes"
	"reflect"
	"runtime"
	"testing"
)

// FuzzReadFrame reads arbitrary bytes: whatever decodes must encode and decode
// to the same message again. The seeds are an empty message of every kind.
func FuzzReadFrame(f *testing.F) {
	for _, make := range factories {
		frame, err := AppendFrame(nil, make())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
		f.Add(frame[:len(frame)-1])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 6, byte(KindChunk), 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add(append([]byte{0, 0, 0, 8, byte(KindEventsReply)}, hugeEvents...))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, _, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		frame, err := AppendFrame(nil, m)
		if err != nil {
			t.Fatalf("%+v decodes but does not encode: %v", m, err)
		}
		again, _, err := readFrame(bytes.NewReader(frame))
		if err != nil {
			t.Fatalf("%+v does not decode again: %v", m, err)
		}
		second, err := AppendFrame(nil, again)
		if err != nil || !bytes.Equal(frame, second) || reflect.TypeOf(m) != reflect.TypeOf(again) {
			t.Fatalf("%+v comes back as %+v", m, again)
		}
	})
}

// hugeEvents is an EventsReply that claims 2^32-1 events.
var hugeEvents = []byte{0x92, 1, 0xdd, 0xff, 0xff, 0xff, 0xff}

// TestClaimedSizesTakeNoMemory decodes small frames that claim huge contents,
// and one that nests deeply.
func TestClaimedSizesTakeNoMemory(t *testing.T) {
	bodies := [][]byte{
		hugeEvents,
		{0x92, 1, 0xc6, 0xff, 0xff, 0xff, 0xff},
		{0x92, 0xa0, 0xdf, 0xff, 0xff, 0xff, 0xff},
		{0xdd, 0xff, 0xff, 0xff, 0xff},
		{0xdf, 0xff, 0xff, 0xff, 0xff},
		bytes.Repeat([]byte{0x91}, 4<<20),
	}
	for kind := range factories {
		for _, body := range bodies {
			if _, err := Decode(kind, body); err == nil {
				t.Errorf("kind %d decodes a body that starts with % x", kind, body[:min(len(body), 8)])
			}
		}
	}
}

// A peer that goes on claiming more bytes than it sends takes no more memory
// each time: the decoders are pooled, and one grew by a quarter with every such
// message until the process ended.
func TestRepeatedClaimsTakeNoMemory(t *testing.T) {
	const repeats = 300
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range repeats {
		for _, body := range [][]byte{
			{0x92, 1, 0xc6, 0xff, 0xff, 0xff, 0xff},
			{0x92, 1, 0xdb, 0xff, 0xff, 0xff, 0xff},
			{0x92, 1, 0xc9, 0xff, 0xff, 0xff, 0xff, 1},
		} {
			if _, err := Decode(KindRankLoad, body); err == nil {
				t.Fatalf("a body decodes that starts with % x", body)
			}
		}
	}
	runtime.ReadMemStats(&after)
	if taken := after.TotalAlloc - before.TotalAlloc; taken > 8<<20 {
		t.Errorf("%d messages took %d MB", 3*repeats, taken>>20)
	}
}
