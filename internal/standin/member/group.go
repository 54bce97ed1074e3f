package member

import (
	"net"

	"github.com/topazrock/topazrock/internal/netio"
)

// StartGroup starts one node at each address with the same options. The first is
// the primary of term 1 and the others are its replicas. The function network
// returns the network as seen by the host at an IP address.
func StartGroup(base Options, network func(ip string) netio.Network, addresses ...string) ([]*Node, error) {
	var nodes []*Node
	for _, address := range addresses {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		o := base
		o.Address, o.Primary, o.Network = address, addresses[0], network(ip)
		node := New(o)
		if err := node.Start(); err != nil {
			for _, started := range nodes {
				started.Stop()
			}
			return nil, err
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}
