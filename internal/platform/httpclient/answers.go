package httpclient

import "github.com/topazrock/topazrock/internal/platform"

// listAnswer is the body of a list and of a watch.
type listAnswer struct {
	Objects  []platform.Object `json:"objects"`
	Revision int64             `json:"revision"`
}
