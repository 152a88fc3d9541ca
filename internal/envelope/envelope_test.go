package envelope

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"

	"github.com/dchest/siphash"
	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

func newTestRing(is *is.I, generations ...uint8) *KeyRing {
	var sets []table.KeySet
	for _, g := range generations {
		sets = append(sets, table.KeySet{Generation: g, Envelope: bytes.Repeat([]byte{g + 1}, 32)})
	}
	r, err := NewKeyRing(sets)
	is.NoErr(err)
	return r
}

func testHeader() Header {
	return Header{
		Kind: Forward, Generation: 3, Service: 70000, Agent: 1 << 30, Revision: 1 << 40, Hops: 1, ForwardedBy: 1 << 20,
		Caller:   netip.MustParseAddrPort("192.0.2.1:4433"),
		Balancer: netip.MustParseAddrPort("[2001:db8::1]:9000"),
	}
}

// Guards against encoding errors, and against an overhead above the bound that the MTU
// calculation uses.
func TestEnvelopeRoundTrip(t *testing.T) {
	is := is.New(t)
	r := newTestRing(is, 3)
	want, payload := testHeader(), bytes.Repeat([]byte{7}, MaxPayload)
	widest := want
	widest.Caller = want.Balancer
	for _, want := range []Header{want, widest, {Kind: Return, Generation: 3, Caller: want.Caller}, {Kind: Probe, Generation: 3}} {
		out, err := r.Append(nil, &want, payload)
		is.NoErr(err)
		is.True(len(out)-len(payload) <= Overhead)
		var got Header
		body, err := r.Open(out, &got)
		is.NoErr(err)
		is.Equal(got, want)
		is.True(bytes.Equal(body, payload))
	}
}

// Guards against accepting a modified envelope: a flipped bit anywhere in the MAC or
// header is refused, and so is a truncated envelope.
func TestEveryFlippedBitIsRefused(t *testing.T) {
	is := is.New(t)
	r := newTestRing(is, 3)
	h := testHeader()
	out, err := r.Append(nil, &h, nil)
	is.NoErr(err)
	for i := range out {
		for bit := range 8 {
			bad := bytes.Clone(out)
			bad[i] ^= 1 << bit
			var got Header
			if _, err := r.Open(bad, &got); err == nil {
				t.Fatalf("bit %d of byte %d flipped: accepted", bit, i)
			}
		}
		var got Header
		_, err := r.Open(out[:i], &got)
		is.True(err != nil)
	}
}

// Guards against signing or verifying with a key that the ring doesn't have.
func TestGenerations(t *testing.T) {
	is := is.New(t)
	h := testHeader()
	out, err := newTestRing(is, 3).Append(nil, &h, nil)
	is.NoErr(err)
	var got Header
	_, err = newTestRing(is, 4).Open(out, &got)
	is.Equal(err, ErrGeneration)
	_, err = newTestRing(is, 3, 4).Open(out, &got)
	is.NoErr(err)
	_, err = newTestRing(is, 4).Append(nil, &h, nil)
	is.Equal(err, ErrGeneration)
	_, err = NewKeyRing([]table.KeySet{{Envelope: []byte{1}}})
	is.True(err != nil)
}

// Guards against allocations on either side.
func TestEnvelopeAllocatesNothing(t *testing.T) {
	is := is.New(t)
	r := newTestRing(is, 3)
	h, payload, out := testHeader(), make([]byte, 1200), make([]byte, 0, 2048)
	var got Header
	is.Equal(testing.AllocsPerRun(100, func() {
		out, _ = r.Append(out[:0], &h, payload)
		_, _ = r.Open(out, &got)
	}), 0.0)
}

func BenchmarkEnvelope(b *testing.B) {
	r := newTestRing(is.New(b), 3)
	h, payload, out := testHeader(), make([]byte, 1200), make([]byte, 0, 2048)
	b.Run("append", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			out, _ = r.Append(out[:0], &h, payload)
		}
	})
	b.Run("open", func(b *testing.B) {
		b.ReportAllocs()
		var got Header
		for b.Loop() {
			_, _ = r.Open(out, &got)
		}
	})
	for _, size := range []int{64, 1264} {
		b.Run(fmt.Sprintf("mac-over-%d-bytes", size), func(b *testing.B) {
			p := make([]byte, size)
			for b.Loop() {
				siphash.Hash128(1, 2, p)
			}
		})
	}
}
