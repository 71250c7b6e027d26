package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	vmtls "hawthornrail.example/hawthornrail/internal/vm/tls"
)

const (
	nonceBytes       = 32
	maxHelloBytes    = 512
	handshakeTimeout = time.Second
)

// ErrUnauthenticated means that the other end did not prove that it has the
// fleet's secret.
var ErrUnauthenticated = errors.New("peer is not authenticated")

// identity is what a VM authenticates with: its instance, the fleet's secret
// and its TLS configuration.
type identity struct {
	self   hawthornrail.Instance
	secret []byte
	mutual *vmtls.Mutual
}

// secure wraps a connection in TLS, if it is on, and performs the handshake.
func (i identity) secure(conn net.Conn, dialer bool, now time.Time) (net.Conn, hawthornrail.Instance, error) {
	if i.mutual == nil {
		remote, err := i.handshake(conn, dialer, now)
		return conn, remote, err
	}
	secured := tls.Server(conn, i.mutual.Config())
	if dialer {
		secured = tls.Client(conn, i.mutual.Config())
	}
	remote, err := i.handshake(secured, dialer, now)
	if err != nil {
		return secured, remote, err
	}
	return secured, remote, vmtls.CheckName(secured.ConnectionState(), remote.VM())
}

// handshake exchanges nonces and proofs over a new connection and returns the
// instance at the other end. The proof depends on dialer, the role of this end,
// to prevent reflection attacks.
func (i identity) handshake(conn net.Conn, dialer bool, now time.Time) (hawthornrail.Instance, error) {
	if err := conn.SetDeadline(now.Add(handshakeTimeout)); err != nil {
		return hawthornrail.Instance{}, fmt.Errorf("handshake: %w", err)
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return hawthornrail.Instance{}, fmt.Errorf("handshake nonce: %w", err)
	}
	hello := append(nonce, i.self.String()...)
	if err := writeBlock(conn, hello); err != nil {
		return hawthornrail.Instance{}, err
	}
	peerHello, err := readBlock(conn)
	if err != nil {
		return hawthornrail.Instance{}, err
	}
	if len(peerHello) < nonceBytes {
		return hawthornrail.Instance{}, fmt.Errorf("short hello: %w", ErrUnauthenticated)
	}
	if err := writeBlock(conn, i.proof(hello, peerHello, dialer)); err != nil {
		return hawthornrail.Instance{}, err
	}
	proof, err := readBlock(conn)
	if err != nil {
		return hawthornrail.Instance{}, err
	}
	if !hmac.Equal(proof, i.proof(peerHello, hello, !dialer)) {
		return hawthornrail.Instance{}, ErrUnauthenticated
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return hawthornrail.Instance{}, fmt.Errorf("handshake: %w", err)
	}
	return hawthornrail.ParseInstance(string(peerHello[nonceBytes:]))
}

func (i identity) proof(prover, verifier []byte, dialer bool) []byte {
	m := hmac.New(sha256.New, i.secret)
	role := byte('l')
	if dialer {
		role = 'd'
	}
	m.Write([]byte{role})
	m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(prover))))
	m.Write(prover)
	m.Write(verifier)
	return m.Sum(nil)
}

func writeBlock(w io.Writer, data []byte) error {
	block := binary.BigEndian.AppendUint16(nil, uint16(len(data)))
	if _, err := w.Write(append(block, data...)); err != nil {
		return fmt.Errorf("write handshake: %w", err)
	}
	return nil
}

func readBlock(r io.Reader) ([]byte, error) {
	var size [2]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, fmt.Errorf("read handshake: %w", err)
	}
	n := binary.BigEndian.Uint16(size[:])
	if n > maxHelloBytes {
		return nil, fmt.Errorf("hello of %d bytes: %w", n, ErrUnauthenticated)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, fmt.Errorf("read handshake: %w", err)
	}
	return data, nil
}
