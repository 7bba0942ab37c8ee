/** @file
 *  Fetches the newest accepted bundle from control. */

#include "ctl_accepted.h"

enum ctl_exit
ctl_fetch_accepted_bundle (struct ctl_context *context, struct bundle **bundle)
{
  struct control_bundle_result result;
  struct control_bundle_args args = { context->options.cluster, 0 };
  enum ctl_exit code = ctl_call (
      context, CONTROL_BUNDLE, (xdrproc_t)xdr_control_bundle_args, &args,
      (xdrproc_t)xdr_control_bundle_result, &result, sizeof result);
  if (code == CTL_OK)
    {
      struct base_findings *findings = base_findings_create ();
      *bundle = bundle_read (result.document.document_val,
                             result.document.document_len, findings);
      if (!*bundle)
        code = ctl_fail (CTL_REFUSED,
                         "this version of cactusctl can't read the accepted "
                         "bundle: %s: %s",
                         base_findings_place (findings, 0),
                         base_findings_text (findings, 0));
      base_findings_destroy (findings);
    }
  xdr_free ((xdrproc_t)xdr_control_bundle_result, (char *)&result);
  return code;
}
