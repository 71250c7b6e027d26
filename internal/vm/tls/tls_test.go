package tls_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	vmtls "hawthornrail.example/hawthornrail/internal/vm/tls"
)

// authority is a certificate authority for the VMs of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assertNoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assertNoError(t, err)
	return authority{certificate, key, write(t, "CERTIFICATE", der)}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assertNoError(t, err)
	return key
}

func write(t *testing.T, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.pem")
	assertNoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

func (a authority) mutual(t *testing.T, vm, roots string) *vmtls.Mutual {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{vm}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assertNoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assertNoError(t, err)
	m, err := vmtls.NewMutual(write(t, "CERTIFICATE", der), write(t, "EC PRIVATE KEY", keyDER), roots)
	assertNoError(t, err)
	return m
}

func assertNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// connect returns the connection state of the dialing end after the handshake.
func connect(t *testing.T, dialer, listener *vmtls.Mutual) (tls.ConnectionState, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", listener.Config())
	assertNoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	client, err := tls.Dial("tcp", l.Addr().String(), dialer.Config())
	if err != nil {
		return tls.ConnectionState{}, err
	}
	defer func() { _ = client.Close() }()
	return client.ConnectionState(), nil
}

func TestMutual(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	vm1 := ours.mutual(t, "vm1", ours.file)
	t.Run("certificate of the fleet's authority", func(t *testing.T) {
		state, err := connect(t, vm1, ours.mutual(t, "vm2", ours.file))
		assertNoError(t, err)
		assertNoError(t, vmtls.CheckName(state, "vm2"))
	})
	t.Run("certificate of another VM", func(t *testing.T) {
		state, err := connect(t, vm1, ours.mutual(t, "vm2", ours.file))
		assertNoError(t, err)
		if vmtls.CheckName(state, "vm3") == nil {
			t.Error("the certificate of VM 2 is accepted for VM 3")
		}
	})
	t.Run("certificate of another authority", func(t *testing.T) {
		if _, err := connect(t, vm1, theirs.mutual(t, "vm2", theirs.file)); err == nil {
			t.Error("another authority's certificate is accepted")
		}
	})
}
