package instance

import (
	"context"
	"encoding/json"

	"github.com/topazrock/topazrock/internal/frontend"
)

// methodCancelCaller forwards a cancel request to the instance with the caller's session,
// if the request arrived at another one.
const methodCancelCaller = "caller.cancel"

// cancelParams identifies a caller's session.
type cancelParams struct {
	ProcessID uint32 `json:"process_id"`
	Secret    uint32 `json:"secret"`
}

func (n *Instance) registerCancel(f *frontend.Server) {
	n.peers.Handle(methodCancelCaller, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var c cancelParams
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, err
		}
		f.Cancel(c.ProcessID, c.Secret)
		return nil, nil
	})
}

// forwardCancel sends a cancel request to the instances whose process IDs have the same
// prefix as processID. It is needed because the balancer may send a cancel request to any
// instance.
func (n *Instance) forwardCancel(processID, secret uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, p := range n.members.Peers() {
		if frontend.ProcessIDPrefix(p.ID) != frontend.PrefixOfProcessID(processID) {
			continue
		}
		err := n.client.Call(ctx, p.PeerAddress, methodCancelCaller, cancelParams{ProcessID: processID, Secret: secret}, nil)
		if err != nil {
			n.options.Logger.Debug("Cancel request was not forwarded.", "instance", p.ID, "error", err)
		}
	}
}
