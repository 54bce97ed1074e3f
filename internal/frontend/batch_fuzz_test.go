package frontend

import (
	"bytes"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// A caller sends extended-protocol messages with arbitrary bodies. A body that
// cannot be decoded fails the batch with a code of the family "did not run", and
// the messages after it are ignored. What is sent to a member must consist of complete
// messages, one for each step that is not synthetic. Otherwise a member could get a batch
// with missing messages.
func FuzzBatch(f *testing.F) {
	f.Add(encode(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}))
	f.Add(encode(&pgproto3.Parse{Name: "s", Query: "SELECT $1", ParameterOIDs: []uint32{23}}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}))
	f.Add(encode(
		&pgproto3.Parse{Name: "s", Query: "SELECT $1"},
		&pgproto3.Bind{PreparedStatement: "s", ParameterFormatCodes: []int16{1}, Parameters: [][]byte{{1}, nil}},
		&pgproto3.Execute{MaxRows: 1}, &pgproto3.Close{ObjectType: 'S', Name: "s"}))
	f.Add(encode(&pgproto3.Close{ObjectType: 'P', Name: "p"}, &pgproto3.Bind{PreparedStatement: "missing"}))
	f.Add(encode(&pgproto3.Flush{}, &pgproto3.Execute{}))
	for _, kind := range []byte{'P', 'B', 'D', 'E', 'C', 'H', 'F'} {
		f.Add([]byte{kind, 0, 0, 0, 4})
		f.Add([]byte{kind, 0, 0, 0, 8, 0, 0xff, 0xff, 0xff})
	}
	f.Add([]byte{'B', 0, 0, 0, 14, 0, 0, 0, 0, 0, 1, 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		b := &batch{session: &session{}}
		r := bytes.NewReader(data)
		for {
			kind, err := r.ReadByte()
			if err != nil {
				break
			}
			message, err := readFrame(r, kind, fuzzLimit)
			if err != nil {
				break
			}
			priorFailure, priorSteps := b.failure, len(b.shape)
			b.addMessage(message, fuzzLimit)
			checkStep(t, b, priorFailure, priorSteps)
		}
		checkBatch(t, b)
	})
}

// checkStep checks the effect of one message on the batch.
func checkStep(t *testing.T, b *batch, priorFailure error, priorSteps int) {
	t.Helper()
	added := len(b.shape) - priorSteps
	switch {
	case priorFailure != nil && (b.failure != priorFailure || added != 0):
		t.Fatal("a message was added after a failed one")
	case b.failure != nil && added != 0:
		t.Fatal("a rejected message added a step")
	case b.failure == nil && added != 1:
		t.Fatalf("an accepted message added %d steps", added)
	}
}

// checkBatch checks the batch as it would be sent to a member.
func checkBatch(t *testing.T, b *batch) {
	t.Helper()
	if e, ok := result.As(b.failure); b.failure != nil && (!ok || e.Code.Family() != result.FamilyDidNotRun) {
		t.Fatalf("failure %v", b.failure)
	}
	sent := strings.Map(func(step rune) rune {
		switch execution.Step(step) {
		case execution.StepSyntheticParse, execution.StepSyntheticClose:
			return -1
		}
		return step
	}, string(b.shape))
	r := bytes.NewReader(b.messages)
	for i := range len(sent) {
		kind, _ := r.ReadByte()
		message, err := readFrame(r, kind, 2*fuzzLimit)
		if err != nil || message.kind != sent[i] {
			t.Fatalf("message %d of %q: %q, error %v", i, sent, kind, err)
		}
		if err := decode(message); err != nil {
			t.Fatalf("message %d of %q is malformed when sent to a member: %v", i, sent, err)
		}
	}
	if r.Len() != 0 {
		t.Fatalf("%d bytes after the last step", r.Len())
	}
	stepReplies(string(b.shape))
}

// decode decodes a message as a member does.
func decode(f frame) error {
	decoders := map[byte]pgproto3.FrontendMessage{
		'P': &pgproto3.Parse{}, 'B': &pgproto3.Bind{}, 'D': &pgproto3.Describe{},
		'E': &pgproto3.Execute{}, 'C': &pgproto3.Close{},
	}
	return decoders[f.kind].Decode(f.body())
}
