package sqcluster

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"sequoiadock/core/sqerror"
)

// Ports are picked below the kernel's ephemeral range: an outgoing connection could
// take a port of that range before the process starts or while it restarts.
const (
	firstPort       = 12000
	portCount       = 20000
	maxPortAttempts = 200
)

// reservationHost is a second loopback address. A listener on it reserves a picked
// port.
const reservationHost = "127.0.0.2"

var (
	reservationsMu sync.Mutex
	reservations   []net.Listener
)

// freeAddress returns an "ip:port" on loopback that has no listener and is reserved
// for as long as this program runs. Without the reservation, two deployments that
// start at the same time can pick the same free port, and one of them then talks to
// a process of the other.
func freeAddress() (string, error) {
	for range maxPortAttempts {
		port := strconv.Itoa(firstPort + rand.IntN(portCount))
		reservation, err := net.Listen("tcp", net.JoinHostPort(reservationHost, port))
		if err != nil {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", port)
		if !isFree(address) {
			reservation.Close()
			continue
		}
		reservationsMu.Lock()
		defer reservationsMu.Unlock()
		reservations = append(reservations, reservation)
		return address, nil
	}
	return "", sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no free port"})
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
