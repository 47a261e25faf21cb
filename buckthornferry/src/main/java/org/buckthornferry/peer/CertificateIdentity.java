package org.buckthornferry.peer;

import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.List;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;

/** Checks a certificate's common name and DNS names against an instance id. */
final class CertificateIdentity {
  private static final Integer DNS_NAME = 2;

  private CertificateIdentity() {}

  /** Returns whether the common name or a DNS name of the certificate is the instance id. */
  static boolean isIssuedTo(X509Certificate certificate, String instanceId) {
    return hasCommonName(certificate, instanceId) || hasDnsName(certificate, instanceId);
  }

  private static boolean hasCommonName(X509Certificate certificate, String instanceId) {
    try {
      LdapName subject = new LdapName(certificate.getSubjectX500Principal().getName());
      for (Rdn part : subject.getRdns()) {
        if (part.getType().equalsIgnoreCase("CN") && instanceId.equals(part.getValue())) {
          return true;
        }
      }
      return false;
    } catch (InvalidNameException e) {
      return false;
    }
  }

  private static boolean hasDnsName(X509Certificate certificate, String instanceId) {
    try {
      Collection<List<?>> names = certificate.getSubjectAlternativeNames();
      if (names == null) {
        return false;
      }
      for (List<?> name : names) {
        if (DNS_NAME.equals(name.get(0)) && instanceId.equals(name.get(1))) {
          return true;
        }
      }
      return false;
    } catch (CertificateParsingException e) {
      return false;
    }
  }
}
