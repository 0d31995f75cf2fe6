package sqreplica

import (
	"context"

	"github.com/twitchtv/twirp"

	"sequoiadock/io/sqrpc"
)

// PeerServer implements the twirp service Peer and passes its messages to a
// replica. Use sqrpc.NewPeerServer to serve it over HTTP.
type PeerServer struct {
	replica *Replica
}

// NewPeerServer returns a PeerServer that delivers to replica.
func NewPeerServer(replica *Replica) *PeerServer { return &PeerServer{replica: replica} }

// Deliver implements sqrpc.Peer.
func (s *PeerServer) Deliver(_ context.Context, e *sqrpc.Envelope) (*sqrpc.Ack, error) {
	err := s.replica.Deliver(e.GetCluster(), e.GetFrom(), e.GetTo(), e.GetMessages())
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &sqrpc.Ack{}, nil
}
