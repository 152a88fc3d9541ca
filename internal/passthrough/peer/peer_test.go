package peer

import (
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
)

func question(port uint16) Question {
	return Question{
		Flow: packet.Flow{
			Client:  packet.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port},
			Service: packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
		},
		Ack: 0xfedcba98,
	}
}

func TestBatchRoundTrip(t *testing.T) {
	is := is.New(t)
	qs := []Question{question(1), question(2)}
	var got []Question
	is.NoErr(ReadAsk(AppendAsk(nil, qs), func(q Question) { got = append(got, q) }))
	is.Equal(got, qs)
	rs := []Answer{{qs[0], Holds}, {qs[1], Unsure}}
	var gotAnswers []Answer
	is.NoErr(ReadAnswer(AppendAnswer(nil, rs), func(r Answer) { gotAnswers = append(gotAnswers, r) }))
	is.Equal(gotAnswers, rs)
}

func TestHeadRoundTrip(t *testing.T) {
	is := is.New(t)
	h := Header{Kind: KindRefused, Reason: TargetSilent, Service: 77, Age: 1234}
	got, carried, err := DecodeHeader(h.Append(nil, []byte("packet")))
	is.NoErr(err)
	is.Equal(got, h)
	is.Equal(string(carried), "packet")
	_, _, err = DecodeHeader(make([]byte, HeaderSize-1))
	is.True(err != nil)
}

// Guards against a part of an entry taken for another flow when a datagram is truncated.
func TestTruncatedBatchIsRejected(t *testing.T) {
	is := is.New(t)
	whole := AppendAnswer(nil, []Answer{{question(1), Holds}})
	for n := range whole {
		if n == 1 {
			continue // an empty batch
		}
		is.True(ReadAnswer(whole[:n], func(Answer) { t.Error("a truncated batch was decoded") }) != nil)
	}
}

func FuzzReadAnswer(f *testing.F) {
	f.Add(AppendAnswer(nil, []Answer{{question(1), Holds}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var rs []Answer
		if ReadAnswer(data, func(r Answer) { rs = append(rs, r) }) != nil {
			return
		}
		if again := AppendAnswer(nil, rs); string(again[1:]) != string(data[1:]) {
			t.Errorf("%x was encoded again as %x", data, again)
		}
	})
}
