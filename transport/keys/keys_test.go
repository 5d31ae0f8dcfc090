package keys

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/transport/network"
)

// issue writes a self-signed certificate for loopback into the folder and returns its files.
func issue(t *testing.T, folder string, serial int64) (certificateFile, keyFile string) {
	g := gomega.NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "node"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	content, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	certificateFile, keyFile = filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem")
	g.Expect(os.WriteFile(certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: content}), 0o600)).To(gomega.Succeed())
	g.Expect(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600)).To(gomega.Succeed())
	return certificateFile, keyFile
}

// A client without a certificate must not get a connection.
func TestMutualTLSRejectsClientsWithoutCertificate(t *testing.T) {
	g := gomega.NewWithT(t)
	certificateFile, keyFile := issue(t, t.TempDir(), 1)
	certificate, err := LoadCertificate(certificateFile, keyFile)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	authorities, err := LoadAuthorities(certificateFile)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	config := certificate.MutualConfig(authorities)
	secured := network.TLS{Inner: network.TCP{}, Server: config, Client: config}
	listener, err := secured.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	go echo(listener)
	g.Expect(exchange(secured, listener.Addr().String())).To(gomega.Equal("hello"))
	anonymous := config.Clone()
	anonymous.GetClientCertificate = nil
	g.Expect(exchange(network.TLS{Inner: network.TCP{}, Client: anonymous}, listener.Addr().String())).To(gomega.BeEmpty())
}

func echo(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer connection.Close()
			content := make([]byte, 5)
			if count, err := connection.Read(content); err == nil {
				_, _ = connection.Write(content[:count])
			}
		}()
	}
}

// exchange returns what an echo server at the address sends back, empty if the connection fails.
func exchange(dialer network.Network, address string) string {
	connection, err := dialer.Dial(context.Background(), address)
	if err != nil {
		return ""
	}
	defer connection.Close()
	_, _ = connection.Write([]byte("hello"))
	content := make([]byte, 5)
	count, _ := connection.Read(content)
	return string(content[:count])
}

// A rotated certificate must be used without a restart, and a half-written one must not replace a
// valid one.
func TestCertificateIsReloaded(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	certificateFile, keyFile := issue(t, folder, 1)
	certificate, err := LoadCertificate(certificateFile, keyFile)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(certificate.Current().Leaf.SerialNumber.Int64()).To(gomega.BeEquivalentTo(1))
	issue(t, folder, 2)
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(keyFile, later, later)).To(gomega.Succeed())
	certificate.checkedAt = time.Time{}
	g.Expect(certificate.Current().Leaf.SerialNumber.Int64()).To(gomega.BeEquivalentTo(2))
	g.Expect(os.WriteFile(keyFile, []byte("half"), 0o600)).To(gomega.Succeed())
	certificate.checkedAt = time.Time{}
	g.Expect(certificate.Current().Leaf.SerialNumber.Int64()).To(gomega.BeEquivalentTo(2), "the last valid certificate must stay in use")
}
