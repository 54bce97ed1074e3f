package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"

	"github.com/topazrock/topazrock/internal/result"
)

// accessControl decides which requests may change something.
type accessControl struct {
	token string
	// crossOrigin rejects cross-origin requests from browsers: a web page open
	// on the operator's machine could otherwise post to the loopback address
	// and drain the instance.
	crossOrigin *http.CrossOriginProtection
}

// newAccessControl returns the access control for a token. With an empty token,
// only requests from the loopback interface are accepted.
func newAccessControl(token string) *accessControl {
	return &accessControl{token: token, crossOrigin: http.NewCrossOriginProtection()}
}

// authorizeChange returns a *result.Error with code AccessDenied unless r may
// change something.
func (a *accessControl) authorizeChange(r *http.Request) error {
	if err := a.crossOrigin.Check(r); err != nil {
		return result.New(result.AccessDenied, "the call comes from a web page of another origin")
	}
	if a.token == "" {
		return authorizeLoopback(r)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || !secretsEqual(token, a.token) {
		return result.New(result.AccessDenied, "send the access token as Authorization: Bearer")
	}
	return nil
}

// authorizeLoopback rejects requests from other machines.
func authorizeLoopback(r *http.Request) error {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err == nil && net.ParseIP(host).IsLoopback() {
		return nil
	}
	return result.New(result.AccessDenied, "no access token is configured, so changes are taken from loopback only")
}

// secretsEqual compares two secrets. It hashes them first so that the time of the
// comparison depends neither on their content nor on their length.
func secretsEqual(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
