package document

import (
	"testing"

	"github.com/matryer/is"
	"github.com/xdg-go/scram"
)

func TestVerifierAuthenticatesItsPassword(t *testing.T) {
	is := is.New(t)
	text, err := NewVerifier("pencil")
	is.NoErr(err)
	stored, err := ParseVerifier(text)
	is.NoErr(err)
	is.True(authenticates(t, stored, "pencil"))
	is.True(!authenticates(t, stored, "pen"))
}

func authenticates(t *testing.T, stored scram.StoredCredentials, password string) bool {
	is := is.New(t)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	is.NoErr(err)
	client, err := scram.SHA256.NewClient("app", password, "")
	is.NoErr(err)
	cc, sc := client.NewConversation(), server.NewConversation()
	var message string
	for !cc.Done() {
		if message, err = cc.Step(message); err != nil {
			return false
		}
		if cc.Done() {
			break
		}
		if message, err = sc.Step(message); err != nil {
			return false
		}
	}
	return cc.Valid() && sc.Valid()
}
