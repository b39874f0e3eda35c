package certificate_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/certificate"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/peer"
)

type (
	// authority issues certificates.
	authority struct {
		t           *testing.T
		certificate *x509.Certificate
		key         *ecdsa.PrivateKey
	}

	// paths holds the file names of one node.
	paths struct{ certificate, key, authorities string }

	// echo is an RPC receiver that counts its calls.
	echo struct{ calls atomic.Int64 }
)

// Say returns text. Peers call it as Echo.Say.
func (e *echo) Say(text string, reply *string) error {
	e.calls.Add(1)
	*reply = text
	return nil
}

func newAuthority(t *testing.T, name string) *authority {
	a := &authority{t: t}
	a.certificate, a.key = a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	return a
}

// sign makes a certificate from a template. The first one is self-signed.
func (a *authority) sign(template *x509.Certificate) (signed *x509.Certificate, key *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(a.t, err)
	template.SerialNumber, err = rand.Int(rand.Reader, big.NewInt(1<<62))
	check(a.t, err)
	if template.NotAfter.IsZero() {
		template.NotAfter = time.Now().Add(time.Hour)
	}
	template.NotBefore = template.NotAfter.Add(-2 * time.Hour)
	parent, parentKey := a.certificate, a.key
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	check(a.t, err)
	signed, err = x509.ParseCertificate(der)
	check(a.t, err)
	return signed, key
}

// issue writes a new certificate, its key and the certificate of the authority
// that the node accepts.
func (a *authority) issue(files paths, template *x509.Certificate, accepted *authority) {
	a.t.Helper()
	signed, key := a.sign(template)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	check(a.t, err)
	write(a.t, files.certificate, "CERTIFICATE", signed.Raw)
	write(a.t, files.key, "PRIVATE KEY", der)
	write(a.t, files.authorities, "CERTIFICATE", accepted.certificate.Raw)
}

func write(t *testing.T, file, block string, der []byte) {
	t.Helper()
	check(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: block, Bytes: der}), 0o600))
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newPaths(t *testing.T) paths {
	d := t.TempDir()
	return paths{filepath.Join(d, "node.pem"), filepath.Join(d, "node.key"), filepath.Join(d, "authorities.pem")}
}

func load(t *testing.T, files paths) *certificate.Reloader {
	t.Helper()
	reloader, err := certificate.Load(t.Context(), files.certificate, files.key, files.authorities)
	check(t, err)
	return reloader
}

// server is a peer server with mutual TLS on an in-memory network.
type server struct {
	t        *testing.T
	network  *nettest.Network
	address  netip.AddrPort
	receiver echo
}

func newServer(t *testing.T, config *tls.Config) *server {
	t.Helper()
	s := &server{t: t, network: nettest.New(), address: netip.MustParseAddrPort("10.0.0.1:7000")}
	listener, err := s.network.Host("10.0.0.1").Listen(t.Context(), s.address)
	check(t, err)
	check(t, peer.NewServer(t.Context(), listener, peer.Options{TLS: config}).Register("Echo", &s.receiver))
	return s
}

// call makes a call over a new connection, and returns the serial number of the
// server's certificate.
func (s *server) call(config *tls.Config) (serial string, err error) {
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	if config != nil {
		config = config.Clone()
		verify := config.VerifyConnection
		config.VerifyConnection = func(state tls.ConnectionState) error {
			serial = state.PeerCertificates[0].SerialNumber.String()
			if verify == nil {
				return nil
			}
			return verify(state)
		}
	}
	pool := peer.NewPool(ctx, s.network.Host("10.0.0.2"), peer.Control, peer.Options{TLS: config})
	var reply string
	err = pool.Call(ctx, s.address, "Echo.Say", "hello", &reply)
	if err == nil && reply != "hello" {
		s.t.Errorf("reply %q", reply)
	}
	return serial, err
}

// Guards against nodes that can't connect to each other with mutual TLS, and
// against accepting calls from processes that aren't nodes.
func TestMutualTLSAcceptsOnlyNodes(t *testing.T) {
	ours, others := newAuthority(t, "ours"), newAuthority(t, "others")
	node := func(issuer, accepted *authority, template *x509.Certificate) *tls.Config {
		files := newPaths(t)
		issuer.issue(files, template, accepted)
		return load(t, files).MutualConfig()
	}
	s := newServer(t, node(ours, ours, &x509.Certificate{}))
	for _, c := range []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"our authority", node(ours, ours, &x509.Certificate{}), true},
		{"client certificate of another authority", node(others, ours, &x509.Certificate{}), false},
		{"server certificate of another authority", node(ours, others, &x509.Certificate{}), false},
		{"expired", node(ours, ours, &x509.Certificate{NotAfter: time.Now().Add(-time.Minute)}), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
		{"no TLS", nil, false},
	} {
		before := s.receiver.calls.Load()
		_, err := s.call(c.client)
		if calls := s.receiver.calls.Load() - before; (err == nil) != c.ok || (calls == 1) != c.ok {
			t.Errorf("%s: %d calls received, %v; want success %t", c.name, calls, err, c.ok)
		}
	}
}

// Guards against replaced files that take effect only after a restart, or not at
// all if they have the modification time of the previous files.
func TestReplacedFilesAreReloaded(t *testing.T) {
	first, second := newAuthority(t, "first"), newAuthority(t, "second")
	files := newPaths(t)
	first.issue(files, &x509.Certificate{}, first)
	info, err := os.Stat(files.certificate)
	check(t, err)
	reloader := load(t, files)
	s := newServer(t, reloader.MutualConfig())
	old, err := s.call(reloader.MutualConfig())
	check(t, err)
	for _, modified := range []time.Time{info.ModTime().Add(time.Minute), info.ModTime().Add(time.Minute)} {
		second.issue(files, &x509.Certificate{}, second)
		for _, file := range []string{files.certificate, files.key, files.authorities} {
			check(t, os.Chtimes(file, modified, modified))
		}
		check(t, reloader.Reload())
		replaced, err := s.call(reloader.MutualConfig())
		if err != nil || replaced == old {
			t.Errorf("call after a replacement: %v; certificate %s, before %s", err, replaced, old)
		}
		old = replaced
	}
	former := newPaths(t)
	first.issue(former, &x509.Certificate{}, second)
	if _, err := s.call(load(t, former).MutualConfig()); err == nil {
		t.Error("a certificate of the replaced authority is accepted")
	}
}

// Guards against a node that loses its certificate because the replacement is
// invalid or not yet completely written.
func TestBrokenReplacementKeepsPreviousCertificate(t *testing.T) {
	ours := newAuthority(t, "ours")
	for name, damage := range map[string]func(files paths) error{
		"certificate":  func(f paths) error { return os.WriteFile(f.certificate, []byte("broken"), 0o600) },
		"key":          func(f paths) error { return os.WriteFile(f.key, nil, 0o600) },
		"authorities":  func(f paths) error { return os.WriteFile(f.authorities, []byte("broken"), 0o600) },
		"missing file": func(f paths) error { return os.Remove(f.certificate) },
		"key of another certificate": func(f paths) error {
			other := newPaths(t)
			ours.issue(other, &x509.Certificate{}, ours)
			return os.Rename(other.key, f.key)
		},
	} {
		files := newPaths(t)
		ours.issue(files, &x509.Certificate{}, ours)
		reloader := load(t, files)
		s := newServer(t, reloader.MutualConfig())
		before, err := s.call(reloader.MutualConfig())
		check(t, err)
		check(t, damage(files))
		for range 2 {
			if err := reloader.Reload(); err == nil {
				t.Errorf("%s: reloaded without an error", name)
			}
		}
		if after, err := s.call(reloader.MutualConfig()); err != nil || after != before {
			t.Errorf("%s: certificate %s, %v; want the previous one, %s", name, after, err, before)
		}
		ours.issue(files, &x509.Certificate{}, ours)
		check(t, reloader.Reload())
		if after, err := s.call(reloader.MutualConfig()); err != nil || after == before {
			t.Errorf("%s: the corrected replacement isn't in use: %v", name, err)
		}
		check(t, os.Remove(files.key))
		if _, err := certificate.Load(t.Context(), files.certificate, files.key, files.authorities); err == nil {
			t.Errorf("%s: loaded without a key", name)
		}
	}
}
