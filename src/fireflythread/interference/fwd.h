#ifndef FIREFLYTHREAD_INTERFERENCE_FWD_H_
#define FIREFLYTHREAD_INTERFERENCE_FWD_H_

namespace fireflythread {

struct FillerPace;
struct ImageLevel;
struct ImageObservation;
struct ImagePairs;
struct Neighbour;
struct PairEvidence;
struct ServingPressure;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_INTERFERENCE_FWD_H_
