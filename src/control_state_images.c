#include "control_state_images.h"

#include <glib.h>

static bool
code_snapshot (XDR *stream, struct control_state_images *images)
{
  return xdr_control_state_image (stream, &images->state)
         && xdr_control_reports_image (stream, &images->reports)
         && xdr_control_routers_image (stream, &images->routers)
         && (images->evacuations.change == 0
             || xdr_control_evacuations_image (stream, &images->evacuations));
}

void
control_state_images_clear (struct control_state_images *images)
{
  xdr_free ((xdrproc_t)xdr_control_state_image, (char *)&images->state);
  xdr_free ((xdrproc_t)xdr_control_reports_image, (char *)&images->reports);
  xdr_free ((xdrproc_t)xdr_control_routers_image, (char *)&images->routers);
  xdr_free ((xdrproc_t)xdr_control_evacuations_image,
            (char *)&images->evacuations);
}

char *
control_state_images_encode (struct control_state_images *images,
                             uint32_t *bytes)
{
  XDR stream;
  uint64_t size
      = xdr_sizeof ((xdrproc_t)xdr_control_state_image, &images->state)
        + xdr_sizeof ((xdrproc_t)xdr_control_reports_image, &images->reports)
        + xdr_sizeof ((xdrproc_t)xdr_control_routers_image, &images->routers);
  if (images->evacuations.change > 0)
    size += xdr_sizeof ((xdrproc_t)xdr_control_evacuations_image,
                        &images->evacuations);
  *bytes = (uint32_t)size;
  char *data = g_malloc (size + 1);
  xdrmem_create (&stream, data, *bytes, XDR_ENCODE);
  code_snapshot (&stream, images);
  XDR_DESTROY (&stream);
  return data;
}

bool
control_state_images_decode (const char *data, uint32_t bytes,
                             struct control_state_images *images,
                             bool *has_reports)
{
  XDR stream;
  xdrmem_create (&stream, (char *)data, bytes, XDR_DECODE);
  bool is_valid = xdr_control_state_image (&stream, &images->state);
  *has_reports = is_valid && xdr_getpos (&stream) < bytes;
  if (*has_reports)
    is_valid = xdr_control_reports_image (&stream, &images->reports);
  if (is_valid && xdr_getpos (&stream) < bytes)
    is_valid = xdr_control_routers_image (&stream, &images->routers);
  if (is_valid && xdr_getpos (&stream) < bytes)
    is_valid = xdr_control_evacuations_image (&stream, &images->evacuations);
  XDR_DESTROY (&stream);
  return is_valid;
}
