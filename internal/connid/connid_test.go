package connid

import (
	"bytes"
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bergamotstall/internal/table"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func ring(generations ...uint8) *KeyRing {
	var sets []table.KeySet
	for _, g := range generations {
		sets = append(sets, table.KeySet{Generation: g, ConnID: bytes.Repeat([]byte{g}, 16)})
	}
	r, err := NewKeyRing(sets)
	if err != nil {
		panic(err)
	}
	return r
}

// An ID must decode to its agent with its own key, and with no other.
func TestIDDecodesWithItsKeyOnly(t *testing.T) {
	both, other := ring(2, 3), ring(3)
	same := ring(10) // the same low bits as generation 2, but another key
	rapid.Check(t, func(t *rapid.T) {
		agent := table.AgentNumber(rapid.Uint32().Draw(t, "agent"))
		e := Entropy{First: rapid.Byte().Draw(t, "first")}
		copy(e.Block[:], rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "block"))
		id, ok := both.Encode(2, agent, e)
		if !ok {
			t.Fatal("ring has no key of generation 2")
		}
		var s Scratch
		if got, origin := both.Decode(id[:], &s); origin != Ours || got != agent {
			t.Fatalf("decoded agent %d, origin %d", got, origin)
		}
		if _, origin := other.Decode(id[:], &s); origin != UnknownGeneration {
			t.Fatalf("without the key: origin %d", origin)
		}
		if _, origin := same.Decode(id[:], &s); origin != Foreign {
			t.Fatalf("with another key: origin %d", origin)
		}
		if _, origin := both.Decode(id[:Size-1], &s); origin != Foreign {
			t.Fatalf("truncated ID: origin %d", origin)
		}
	})
}

// Two IDs of one agent must have nothing in common by which an observer could link them.
func TestIDsOfOneAgentAreUnlinkable(t *testing.T) {
	is := is.New(t)
	r := ring(1)
	a, _ := r.Encode(1, 5, Entropy{})
	b, _ := r.Encode(1, 5, Entropy{Block: [8]byte{1}})
	same := 0
	for i := 1; i < Size; i++ {
		if a[i] == b[i] {
			same++
		}
	}
	is.True(same < 5)
	_, ok := r.Encode(2, 5, Entropy{})
	is.True(!ok)
	_, err := NewKeyRing([]table.KeySet{{ConnID: make([]byte, 15)}})
	is.True(err != nil)
}

func TestDecodeAllocatesNothing(t *testing.T) {
	is := is.New(t)
	r, s := ring(1), new(Scratch)
	id, _ := r.Encode(1, 5, Entropy{})
	is.Equal(testing.AllocsPerRun(100, func() { r.Decode(id[:], s) }), 0.0)
}

func BenchmarkDecode(b *testing.B) {
	r, s := ring(1), new(Scratch)
	id, _ := r.Encode(1, 5, Entropy{})
	b.ReportAllocs()
	for b.Loop() {
		r.Decode(id[:], s)
	}
}
