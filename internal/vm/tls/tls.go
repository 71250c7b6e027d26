package tls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ErrCertificateName means that a VM's certificate does not contain the VM's name.
var ErrCertificateName = errors.New("certificate is not the VM's")

// ForCallers returns the configuration of the callers' listener with the
// certificate and key of two PEM files.
func ForCallers(certificateFile, keyFile string) (*tls.Config, error) {
	c, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}, nil
}

// Mutual is the mutual TLS between VMs: both ends present a certificate that
// the fleet's certificate authority signed.
type Mutual struct {
	config *tls.Config
}

// NewMutual returns the mutual TLS of a VM from PEM files of its certificate,
// its key and the certificates of the authority.
func NewMutual(certificateFile, keyFile, authorityFile string) (*Mutual, error) {
	c, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	rootsPEM, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(rootsPEM) {
		return nil, fmt.Errorf("load authority: %s holds no certificate", authorityFile)
	}
	return &Mutual{config: &tls.Config{
		Certificates: []tls.Certificate{c},
		MinVersion:   tls.VersionTLS13,
		ClientAuth:   tls.RequireAnyClientCert,
		// VMs are dialled by IP address, so the chain is verified here, and the
		// name is checked by CheckName against the instance that the other end
		// claims to be.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, roots) },
	}}, nil
}

func verifyChain(s tls.ConnectionState, roots *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	options := x509.VerifyOptions{
		Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range s.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("verify certificate: %w", err)
	}
	return nil
}

// Config returns the configuration, which both ends of a connection use.
func (m *Mutual) Config() *tls.Config { return m.config }

// CheckName returns an error that wraps ErrCertificateName unless the other end's
// certificate contains the name of a VM.
func CheckName(s tls.ConnectionState, vm string) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("VM %s: %w", vm, ErrCertificateName)
	}
	if err := s.PeerCertificates[0].VerifyHostname(vm); err != nil {
		return fmt.Errorf("VM %s: %w: %w", vm, ErrCertificateName, err)
	}
	return nil
}
